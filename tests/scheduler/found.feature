Feature: A start that is sent again is not refused if its run exists

  Scenario: A worker drains, and its attendant restarts
    # Guards against a refused start mistaken for proof that the run does not exist.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM drains
    And worker-1 is killed and restarted after 1 s
    And 3 s pass
    Then no task ran twice at the same time or after its end
