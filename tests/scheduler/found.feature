Feature: A start that is sent again is not refused for a run that is there

  Scenario: A worker drains, and its attendant starts anew
    # A worker says that it leaves, and its attendant is killed and started anew. The
    # scheduler sends the starts of the runs there again to the new attendant, which has
    # not seen them yet, and it refuses them since the worker drains. A refusal stands for
    # a run that does not exist: the tasks were started elsewhere beside their first runs.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine drains
    And worker-1 is killed and started anew after 1 s
    And 3 s pass
    Then no task ran twice at a time or after its end
