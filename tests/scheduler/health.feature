Feature: Unhealthy workers are blocked

  Scenario: A worker fails all its tasks
    # Guards against a worker that reports itself healthy but costs each task there an
    # attempt.
    Given two entries and 3 workers for jobs
    And worker-1's VM fails everything it starts
    When 9 jobs of 1 task of 1 s are submitted, one a second
    Then all 9 jobs are completed within 10 s
    And at most 5 tasks were started on worker-1
    And no task ran twice at the same time or after its end

  Scenario: Tasks on a worker make no progress
    # Guards against tasks that neither fail nor end and are never restarted elsewhere.
    Given two entries and 3 workers for jobs
    And tasks on worker-1's VM make no progress
    When 6 jobs of 1 task of 1 s are submitted, one a second
    Then all 6 jobs are completed within 10 s
    And no task ran twice at the same time or after its end

  Scenario: A worker begins to fail its tasks
    # Guards against completions of earlier tasks taken as proof that a failing worker
    # is healthy.
    Given a healthy worker
    And it started a task of job "a" at second 1
    When a task of job "b" fails there at second 2
    And the task of job "a" completes at second 2
    And a task of job "c" fails there at second 3
    Then it is blocked

  Scenario: Tasks on a worker fail one after the other
    # Guards against a block doubled by failures of tasks that were started before it.
    Given a healthy worker
    When a task of job "a" fails there at second 2
    And a task of job "b" fails there at second 2
    Then it is blocked
    When a task of job "c" fails there at second 3
    Then it is blocked for 2 s

  Scenario: Tasks fail by themselves on a healthy worker
    # Guards against a healthy worker blocked after two failures in a row.
    Given a healthy worker
    And it started a task of job "d" at second 1
    And it started a task of job "e" at second 1
    And it started a task of job "b" at second 1
    When a task of job "b" fails there at second 2
    And it started a task of job "c" at second 2
    And a task of job "c" fails there at second 3
    Then it is not blocked

  Scenario: A failure is detected after later tasks have completed
    # Guards against a failure that counts although tasks placed later have completed.
    Given a healthy worker
    And it started a task of job "b" at second 1
    And it started a task of job "d" at second 2
    When the task of job "d" completes at second 3
    And a task of job "b" fails there at second 4
    And a task of job "c" fails there at second 5
    Then it is not blocked

  Scenario: A worker that may still be unhealthy is probed by one task at a time
    # Guards against placing all waiting tasks on a worker whose block has just ended.
    Given two entries and 2 workers for jobs
    And worker-1's VM fails everything it starts
    When the job "a" of 1 steps with 8 tasks of 2 s is submitted at entry-1
    And the job "b" of 1 steps with 8 tasks of 2 s is submitted at entry-1
    And the job "c" of 1 steps with 8 tasks of 2 s is submitted at entry-1
    And the job "d" of 1 steps with 8 tasks of 2 s is submitted at entry-1
    And 8 s pass
    Then at most 11 tasks were started on worker-1

  Scenario: A worker has recovered
    # Guards against a long block for a single failure after the worker has recovered.
    Given a healthy worker
    When a task of job "b" fails there at second 2
    And it started a task of job "a" at second 3
    And the task of job "a" completes at second 4
    And a task of job "c" fails there at second 5
    Then it is not blocked

  Scenario: A job that fails on every worker does not block the workers
    # Guards against blocking healthy workers because of a job that fails on every one.
    Given two entries and 2 workers for jobs
    When the failing job "a" of 1 steps with 8 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And the job "b" of 1 steps with 8 tasks of 1 s is submitted at entry-1
    Then the job "b" is "completed" within 3 s

  Scenario: A service is submitted after all workers have recovered
    # Guards against workers on probation for good, as no task of a service completes.
    Given two entries and 2 workers for jobs
    And worker-1's VM fails everything it starts
    And worker-2's VM fails everything it starts
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And the job "b" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM fails nothing any more
    And worker-2's VM fails nothing any more
    And the job "a" is cancelled at entry-1 with status 200
    And the job "b" is cancelled at entry-1 with status 200
    And 3 s pass
    And the service "s" of 32 tasks that need 100 of 8000 millicores is submitted
    And 7 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: All workers are unhealthy for some time while a service waits
    # Guards against blocks that last longer than a service may wait.
    Given two entries and 2 workers for jobs
    And worker-1's VM fails everything it starts
    And worker-2's VM fails everything it starts
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And the service "s" of 32 tasks that need 100 of 8000 millicores is submitted
    And 7 s pass
    And worker-1's VM fails nothing any more
    And worker-2's VM fails nothing any more
    And 7 s pass
    Then 32 tasks of "s" run
    And no task ran twice at the same time or after its end
