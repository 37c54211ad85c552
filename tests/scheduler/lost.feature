Feature: Runs held by a lost worker, some unknown to the scheduler

  Scenario: A worker restarts and is lost, and the scheduler is replaced
    # Guards against a next scheduler that knows the lease, but not the starts that the
    # new incarnation has accepted.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And worker-1's VM stops answering
    And 20 ms pass
    And worker-1 and its VM are lost
    And 4 s pass
    And the scheduler is killed
    And 15 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A new incarnation carries out a start seconds late
    # Guards against a start that a new incarnation runs unreported, for a whole lease,
    # while the task runs elsewhere.
    Given two entries and 2 workers for jobs
    And the next 6 starts at worker-1 are carried out late
    When 10 s pass
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 50 ms pass
    And worker-1's VM crashes and reports at once
    And worker-1's VM stops answering
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: The new scheduler cannot read the members
    # Guards against a scheduler that announces itself to no one after one failed read.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And the scheduler is cut off permanently from the store and the other entries
    And another scheduler has taken over, and cannot read the store for 3000 ms
    And 12 s pass
    Then 4 tasks run
    And 4 tasks were started, each once

  Scenario: A new incarnation accepts a start and is never reported
    # Guards against a lease measured by the previous incarnation's clock for a run of
    # the new one.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM stops answering
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A new incarnation accepts a start that its restarted attendant does not know
    # Guards against the same when the attendant that knew of the start has died.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM stops answering
    And worker-1 is killed and restarted after 0 s
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A late notice that a worker leaves arrives while it does not answer
    # Guards against an old notice and one unanswered poll mistaken for a worker's end.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And a late notice that worker-1's VM leaves arrives
    And worker-1's VM stops answering
    And 2 s pass
    And worker-1's VM answers again
    And 2 s pass
    Then no task ran twice at the same time or after its end

  Scenario: A worker that answers polls accepts no start
    # Guards against a start that is retried forever because it is never answered.
    Given two entries and 2 workers for jobs
    And worker-1's VM answers polls but never accepts a start
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 60 s

  Scenario: Work arrives while a new incarnation of a worker does not answer
    # Guards against starts on a worker whose runs wait for its new incarnation.
    Given two entries and 2 workers for jobs
    When the service "a" of 4 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1's VM crashes and reports at once
    And worker-1's VM stops answering
    And 1 s pass
    And the service "b" of 32 tasks that need 100 of 8000 millicores is submitted
    And 7 s pass
    Then 32 tasks of "b" run
    And no task ran twice at the same time or after its end
