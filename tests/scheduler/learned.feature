Feature: A new scheduler knows what earlier ones have learned

  Scenario: The scheduler is killed at the peak of a burst
    # Guards against a burst that a new scheduler works off in another order.
    Then a burst is worked off in the same order if the scheduler is killed at its peak

  Scenario: Jobs are ordered by deadline
    # Guards against deployments without the setting that store more than before.
    Given two entries and 1 workers for jobs
    When 4 jobs of 2 s that declare 100 ms and 100 s alternately have run on a whole worker
    And 5 s pass
    Then nothing learned is stored

  Scenario: Lengths were observed before and after the row was written
    # Guards against observations that count twice, or not at all, after a takeover.
    Given a scheduler that has observed tasks of an ended job and of an active one
    When it writes the row and then observes another step of the active job
    And another scheduler restores the row as written and both jobs
    Then it has learned the same

  Scenario Outline: The row cannot be used
    # Guards against a takeover that fails, or knows less than without a row.
    Given log lines are recorded
    And a scheduler that has observed tasks of an ended job and of an active one
    When another scheduler restores the row <value> and both jobs
    Then it has learned the same
    And the row is logged as unreadable, and replaced by the next write

    Examples:
      | value                                              |
      | {"sums_by_queue":                                  |
      | {"sums_by_queue":{"r-rebuild":[0,1,1,1,1]}}        |
      | {"sums_by_queue":{"r-rebuild":[2,9e99,9e99,1,1]}}  |
      | {"rates":[[["svc","spare"],-1]]}                   |
