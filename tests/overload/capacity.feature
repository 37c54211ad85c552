Feature: The rate of a pool

  Scenario: A pool without a measured rate
    # Guards against deferring jobs before it is known what the pool can do.
    Given a pool of 20 processors whose rate is not measured
    When 6 jobs of 8 s arrive, each of which is already late
    And 8 jobs of 8 s arrive within 2 s
    Then at the end of the burst only jobs that cannot be on time are deferred

  Scenario: A pool that is hardly used
    # Guards against taking what a few jobs use for all that the pool can do.
    Given a pool of 100 processors
    When 2 jobs of 8 s arrive within 1 s
    And 8 more arrive after 6 s
    Then by least cost no job is ever deferred

  Scenario: Workers become slow while jobs wait
    # Guards against deferring by a rate that the pool no longer has.
    Given a pool of 100 processors that falls to 50 after 10 s
    When 40 jobs of 4 to 12 s arrive within 4 s
    Then the measured rate is within 10% of the real one 5 s after that

  Scenario: The workers of a pool are gone for good
    # Guards against waits that are predicted by workers that no longer exist.
    Given a meter with a restored rate of a pool
    When it is updated for 50 s without that pool
    Then the rate is still known
    When it is updated for 20 s without that pool
    Then the rate is no longer known
