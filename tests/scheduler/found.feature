Feature: A start that is sent again is not refused for a run that is there

  Scenario: A worker drains, and its attendant starts anew
    # Guards against a refused start that is taken for a run that does not exist.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine drains
    And worker-1 is killed and started anew after 1 s
    And 3 s pass
    Then no task ran twice at a time or after its end
