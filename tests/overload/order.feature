Feature: The order of jobs while not all can be on time

  Scenario: A burst of more jobs than can be on time
    # Guards against a burst in which most jobs end a little too late.
    Given a pool of 100 processors
    When 60 jobs of 8 s arrive within 20 s
    Then at least 15 more jobs are on time by least cost than by deadline
    And by least cost no job becomes useless

  Scenario: The largest job of a queue in a burst
    # Guards against a job that gets nothing as long as smaller deferred ones wait.
    Given a pool of 100 processors
    When 60 jobs of 8 s arrive within 10 s
    And a job 6 times as large as these arrives after 5 s
    Then by least cost it waits and starts before its last chance has passed
    And by least cost it ends while it is of use

  Scenario Outline: The largest job of a queue under lasting overload
    # Guards against a deferral without a bound: jobs on time fill the pool until the
    # deferred job is of no use.
    Given a pool of 100 processors
    When 120 jobs of 8 s arrive within 80 s
    And a job 6 times as large as these arrives after <arrival> s
    Then by least cost it ends while it is of use
    And by least cost at least <others> others are on time

    Examples: At most a tenth fewer others than without a bound
      | arrival | others |
      | 16      | 99     |
      | 32      | 99     |
      | 48      | 99     |
      | 64      | 99     |

  Scenario: Several large jobs at their last chance
    # Guards against resumed jobs that together make most others late, or that are
    # resumed although their end is of no use.
    Given a pool of 100 processors
    When 120 jobs of 8 s arrive within 80 s
    And 4 jobs 6 times as large as these arrive after 24 s
    Then by least cost one of them at a time is resumed, until it ends
    And by least cost none is resumed that can no longer be of use

  Scenario: Equal jobs under lasting overload
    # Guards against jobs of the usual size that are resumed, each of which makes
    # another one late.
    Given a pool of 100 processors
    When 120 jobs of 8 s arrive within 80 s
    Then by least cost some are deferred and none is resumed

  Scenario: Jobs of two priorities at their last chance
    # Guards against a job that cannot be of use in time because one of a lower priority,
    # which gets nothing beside it, is resumed.
    Given a pool of 100 processors
    When a job of priority 2 is resumed
    And a job of priority 0 is deferred until its last chance
    Then both are resumed

  Scenario: Jobs at their last chance while their pool has no processors
    # Guards against a division by the rate of such a pool, which ends the scheduler.
    Given a pool of 0 processors
    When a job of priority 2 is resumed
    And a job of priority 2 is deferred until its last chance
    Then none is resumed

  Scenario: A job at its last chance while another one is resumed
    # Guards against jobs that take turns in being resumed, so that all become useless.
    Given a pool of 100 processors
    When a job of priority 2 is resumed
    And a job of priority 2 is deferred until its last chance, which ends 2 s earlier
    Then only the former is resumed

  Scenario: Two equal jobs of which one can be on time
    # Guards against jobs that take turns in being deferred, so that both end late.
    Given a pool of 6 processors
    When 2 jobs of 8 s arrive within 0 s
    Then by least cost 1 of them is on time
    And the same one is deferred while their expected work varies by 10%

  Scenario: A deferred job that is about to become useless
    # Guards against deferred jobs that take capacity from a higher priority.
    Given a pool of 20 processors
    When 8 jobs of 8 s arrive within 2 s
    And jobs of a higher priority that need 80% arrive for 60 s
    Then by least cost those of the higher priority end as if they were alone

  Scenario: Jobs that are late whatever is done
    # Guards against late jobs that make others late.
    Given a pool of 20 processors
    When 6 jobs of 8 s arrive, each of which is already late
    And 4 jobs of 4 s arrive within 4 s
    Then by least cost the 4 jobs are on time

  Scenario: A job that declares a length of thousands of years
    # Guards against a declared length that ends the scheduler by an overflow.
    Given a pool of 20 processors
    When 4 jobs of 4 s arrive within 4 s
    And a job of 100 tasks arrives that declares 100000000000 times its length
    Then by least cost the 4 jobs are on time

  Scenario: The setting is off
    # Guards against a change of the order where no deployment has asked for it.
    Given a pool of 100 processors
    When 40 jobs of 4 to 12 s arrive within 4 s
    And jobs of a higher priority that need 20% arrive for 60 s
    Then by deadline the order is at all times by priority, lateness and deadline
