Feature: A gang runs and fails as a whole, whichever scheduler decides

  Scenario: The scheduler dies before the rest of a broken gang is stopped
    # Guards against members that the next scheduler holds as healthy, and that wait for
    # the one that was rejected.
    Given two entries and 2 workers for jobs
    And worker-1's VM refuses all starts
    When the gang "g" of 12 tasks of 30 s is submitted at entry-1
    And 20 ms pass
    And worker-2 is cut off from the scheduler
    And 300 ms pass
    And the scheduler is killed
    And worker-1's VM accepts starts again
    And 15 s pass
    Then 12 tasks run

  Scenario: The scheduler dies between the failures of two members of a gang
    # Guards against one failure of a gang counted once by each scheduler.
    Given two entries and 2 workers for jobs
    When the failing gang "g" of 12 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And worker-2 is cut off from the scheduler
    And 2500 ms pass
    And the scheduler is killed
    And 15 s pass
    Then 24 tasks were started in total
