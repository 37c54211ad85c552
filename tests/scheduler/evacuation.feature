Feature: Nothing new is started in a data centre that is evacuated

  Scenario: Tasks go to the other data centres, and back once it is in use again
    # Guards against starts in an evacuated data centre, and against runs stopped there.
    Given two entries and 4 workers for jobs in "north" and "south"
    When the job "a" of 1 steps with 8 tasks of 12 s is submitted at entry-1
    And 1 s pass
    And the operator evacuates "north"
    And 1 s pass
    And the job "b" of 2 steps with 6 tasks of 1 s is submitted at entry-1
    And 3 s pass
    Then the status of every daemon shows "north" as evacuated
    And "status --metrics" of entry-1 prints "evacuated data centres: north (as of"
    And no start order reached the workers in "north" after the evacuation
    And the job "b" is "completed" within 5 s
    And the job "a" is "completed" within 15 s
    And 20 tasks were started, each once
    When the operator takes the evacuation of "north" back
    And the operator evacuates "south"
    And 1 s pass
    And the job "c" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "c" is "completed" within 5 s
    And no start order reached the workers in "south" after the evacuation

  Scenario: Work waits while all data centres are evacuated, and says so
    # Guards against starts where nothing may start, and against a wait without a reason.
    Given two entries and 2 workers for jobs in "north" and "south"
    When the operator evacuates "north"
    And the operator evacuates "south"
    And 1 s pass
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And 10 s pass
    Then no task of "a" was started
    And the job "a" waits for the reason "evacuation"
    When the operator takes the evacuation of "south" back
    Then the job "a" is "completed" within 5 s
    And no start order reached the workers in "north" after the evacuation

  Scenario: An order from before the evacuation is carried out late
    # Guards against an attendant that starts what it could not start for seconds.
    Given two entries and 2 workers for jobs in "north" and "south"
    When worker-1's VM stops answering
    And the job "a" of 1 steps with 12 tasks of 4 s is submitted at entry-1
    And 100 ms pass
    And the operator evacuates "north"
    And 5200 ms pass
    And worker-1's VM answers again
    And 3 s pass
    Then no start order reached the workers in "north" 5 s after the evacuation or later
    And the job "a" is "completed" within 20 s
    And no task ran twice at the same time or after its end

  Scenario: The scheduler's copy of the operator's rows is outdated
    # Guards against a scheduler that does not know of the evacuation and still orders.
    Given two entries and 2 workers for jobs in "north" and "south"
    And nothing more of the operator's rows can be read
    And 2 s pass
    When the operator evacuates "north"
    And 5 s pass
    And the job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 5 s pass
    Then no start order reached the workers in "north" 5 s after the evacuation or later
    When the operator's rows can be read again
    Then the job "a" is "completed" within 10 s
    And no start order reached the workers in "north" 5 s after the evacuation or later

  Scenario: A new scheduler takes over during the evacuation
    # Guards against an evacuation that only the previous scheduler knew.
    Given two entries and 4 workers for jobs in "north" and "south"
    When the operator evacuates "north"
    And the scheduler is killed
    And another entry has taken over
    And the job "a" of 2 steps with 4 tasks of 1 s is submitted at the new scheduler
    Then the job "a" is "completed" within 20 s
    And no start order reached the workers in "north" 5 s after the evacuation or later

  Scenario: Everything restarts right after the confirmation
    # Guards against an evacuation that is forgotten with the processes that knew of it.
    Given two entries and 4 workers for jobs in "north" and "south"
    When the operator evacuates "north"
    And every daemon is killed and restarted
    And 3 s pass
    And the job "a" of 2 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 20 s
    And no start order reached the workers in "north" after the evacuation

  Scenario: The history of the request and of its end is dropped
    # Guards against an end of the evacuation that is lost with the store's history.
    Given two entries and 4 workers for jobs in "north" and "south"
    When the operator evacuates "north" and the history is dropped
    And 4 s pass
    And the job "a" of 1 steps with 16 tasks of 1 s is submitted at entry-1
    And 1 s pass
    Then no start order reached the workers in "north" after the evacuation
    When the operator takes the evacuation of "north" back and the history is dropped
    And 3 s pass
    And the operator evacuates "south"
    And 1 s pass
    And the job "b" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "b" is "completed" within 5 s

  Scenario: An attendant restarts in an evacuated data centre
    # Guards against a new attendant that stops runs, or starts what it was ordered.
    Given two entries and 4 workers for jobs in "north" and "south"
    When the job "a" of 1 steps with 8 tasks of 10 s is submitted at entry-1
    And 1 s pass
    And the operator evacuates "north"
    And 1 s pass
    And worker-1 is killed and restarted after 0 s
    Then the job "a" is "completed" within 15 s
    And 8 tasks were started, each once

  Scenario: A gang waits for room outside the evacuated data centre
    # Guards against a gang of which a part is placed where nothing may start.
    Given two entries and 2 workers for jobs in "north" and "south"
    When the operator evacuates "north"
    And 1 s pass
    And the gang "g" of 12 tasks of 1 s is submitted at entry-1
    And 5 s pass
    Then no task of "g" was started
    And the job "g" waits for the reason "evacuation"
    When the operator takes the evacuation of "north" back
    Then the job "g" is "completed" within 10 s

  Scenario: A request names a data centre that does not exist
    # Guards against a mistyped name that nobody notices, or that stops other work.
    Given two entries and 2 workers for jobs in "north" and "south"
    When the operator evacuates "nroth"
    And 1 s pass
    Then each entry logs "evacuation:unknown-data-centre" for "nroth"
    When the job "a" of 1 steps with 12 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 5 s
