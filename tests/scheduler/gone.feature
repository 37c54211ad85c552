Feature: What ran on a worker that is gone for good runs again elsewhere

  # Users take a task that lasts for lost if, with room for it and everything else calm
  # for 4 s, it has no run for 3 s: 7 s after the last trouble all tasks run.

  Scenario: A worker is gone, and the scheduler that heard so is replaced
    # Guards against a dead worker's lease renewed by its attendant's reports.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And 4 s pass
    And the store is down from now on
    And 4 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and its attendant starts anew
    # Guards against a lease granted to an attendant that has no worker to see.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And worker-1 is killed and started anew after 1 s
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and every process loses power
    # Guards against runs held for a lease that began before the attendant's predecessor died.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And every daemon is killed and started anew
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and the store fails as it goes
    # Guards against news of a lapse that is said once, to a scheduler that is replaced.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And the store is down from now on
    And 7 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A word that a worker does not answer arrives seconds late
    # Guards against an old report that shortens a lease granted since.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 4 s pass
    And what is sent to the scheduler for 1 s arrives late
    And worker-1's machine answers again
    And 3 s pass
    And worker-1 is cut off from the entries and the store for 5 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker answers again as its attendant is cut off
    # Guards against a worker told of a lease that the scheduler has taken back.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 3 s pass
    And worker-1's machine answers again
    And worker-1 is cut off from the entries and the store for 6 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A word that a worker does not answer arrives after its attendant has died
    # Guards against a dead attendant's report that shortens its successor's lease.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 2 s pass
    And what is sent to the scheduler for 1 s arrives late
    And worker-1 is killed and started anew after 0 s
    And worker-1's machine answers again
    And 2 s pass
    And worker-1 is cut off from the entries and the store for 7 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end
