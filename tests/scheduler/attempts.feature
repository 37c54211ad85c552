Feature: A task is started no more often than its failures allow

  Scenario: A new incarnation accepts starts that fail, falls silent and answers again
    # Guards against failures that are not counted, of runs that were given up too early.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the failing job "a" of 1 steps with 6 tasks of 8 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 1 s pass
    And worker-1's VM stops answering
    And 8 s pass
    And worker-1's VM answers again
    And 20 s pass
    Then no task ran twice at the same time or after its end
    And no task was started after its last failure allowed

  Scenario: Such a worker, and its attendant restarts
    # Guards against failures that are not counted, of runs that were given up too early.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the failing job "a" of 1 steps with 6 tasks of 8 s is submitted at entry-1
    And 100 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And 8 s pass
    And worker-1's VM answers again
    And 20 s pass
    Then no task ran twice at the same time or after its end
    And no task was started after its last failure allowed

  Scenario: Such a worker, and the scheduler is replaced
    # Guards against failures that are not counted, of runs that were given up too early.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the failing job "a" of 1 steps with 6 tasks of 8 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And 200 ms pass
    And the scheduler is killed
    And 8 s pass
    And worker-1's VM answers again
    And 20 s pass
    Then no task ran twice at the same time or after its end
    And no task was started after its last failure allowed

  Scenario: The log says why a run was given up whose end is listed later
    # Guards against late ends that no line tells, with why they were not expected.
    Given two entries and 2 workers for jobs
    And log lines are recorded
    And worker-2's VM refuses all starts
    And the next 5 starts at worker-1 are carried out late
    When the failing job "a" of 1 steps with 1 tasks of 3 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And 4 s pass
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 1 s pass
    Then 1 late ends are logged, of runs given up because "ended: stopped"

  Scenario: A rejected start is carried out by a new incarnation, and fails
    # Guards against a failure that is not counted, since its task has a later run.
    Given two entries and 2 workers for jobs
    And worker-2's VM refuses all starts
    And the next 5 starts at worker-1 are carried out late
    When the failing job "a" of 1 steps with 1 tasks of 3 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And 4 s pass
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 3400 ms pass
    And worker-2's VM accepts starts again
    And 20 s pass
    Then the job "a" is "failed" within 10 s
    And no task ran twice at the same time or after its end
    And no task was started after its last failure allowed

  Scenario: A rejected start is carried out by a new incarnation, and completes
    # Guards against a task that runs again although one of its runs has completed.
    Given two entries and 2 workers for jobs
    And worker-2's VM refuses all starts
    And the next 5 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 1 tasks of 3 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And 4 s pass
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 3400 ms pass
    And worker-2's VM accepts starts again
    Then the job "a" is "completed" within 20 s
    And no task ran twice at the same time or after its end

  Scenario: A silent worker's result is listed while the task's next run works
    # Guards against a result that is dropped, and work that nobody needs any more.
    Given two entries and 2 workers for jobs
    And worker-2's VM refuses all starts
    When the job "a" of 1 steps with 1 tasks of 5 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM stops answering
    And worker-2's VM accepts starts again
    And 8 s pass
    And worker-1's VM answers again
    Then the job "a" is "completed" within 2 s
    When 1 s pass
    Then nothing runs on worker-2
    And 2 tasks were started in total

  Scenario: A late start reaches a new incarnation that its attendant has called
    # Guards against a finished run that starts again on an incarnation without a token.
    Given two entries and 1 workers for jobs
    And the next 1 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 3400 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And 3 s pass
    Then no task ran twice at the same time or after its end

  Scenario: A late start reaches a new incarnation whose attendant has restarted
    # Guards against a finished run that starts again, since the new attendant has not heard
    # of the worker and calls nothing there.
    Given two entries and 1 workers for jobs
    And the next 1 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 3400 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM crashes and sends no heartbeats
    And 3 s pass
    Then no task ran twice at the same time or after its end

  Scenario: A new incarnation runs what nobody expects there
    # Guards against a task that is started again beside a run that its worker lists.
    Given two entries and 2 workers for jobs
    And the next 20 starts at worker-1 are carried out late
    And worker-2's VM refuses all starts
    When the job "a" of 1 steps with 4 tasks of 30 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And 4 s pass
    And worker-2's VM accepts starts again
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 4 s pass
    Then no task ran twice at the same time or after its end
    And 4 tasks run

  Scenario: What nobody expects on a worker takes room there
    # Guards against a worker filled beyond its room beside runs that are being stopped.
    Given two entries and 1 workers for jobs
    And the next 20 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 4 tasks of 30 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And worker-1's VM takes 500 ms to stop a run
    And 4 s pass
    And the job "b" of 1 steps with 8 tasks of 30 s is submitted at entry-1
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 4 s pass
    Then no worker ever ran more than 8 tasks
    And 8 tasks run

  Scenario: The operator lowers a limit that a task has reached
    # Guards against a task that is started again beyond the limit in force.
    Given two entries and 1 workers for jobs
    When the failing job "a" of 1 steps with 1 tasks of 4 s is submitted at entry-1
    And 5 s pass
    And the operator allows 1 attempts
    Then the job "a" is "failed" within 2 s
    When 5 s pass
    Then 2 tasks were started in total
