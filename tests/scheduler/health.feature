Feature: Workers that do their tasks no good are left alone

  Scenario: A worker fails everything it starts
    # Guards against a worker that says it is well and costs each task there an attempt.
    Given two entries and 3 workers for jobs
    And worker-1's machine fails everything it starts
    When 9 jobs of 1 task of 1 s are handed in, one a second
    Then all 9 jobs are completed within 10 s
    And at most 5 tasks were started on worker-1
    And no task ran twice at a time or after its end

  Scenario: Tasks on a worker stand still
    # Guards against tasks that neither fail nor end, and are never done elsewhere.
    Given two entries and 3 workers for jobs
    And tasks on worker-1's machine stand still
    When 6 jobs of 1 task of 1 s are handed in, one a second
    Then all 6 jobs are completed within 10 s
    And no task ran twice at a time or after its end

  Scenario: A worker begins to fail what it starts
    # Guards against ends of earlier tasks taken for proof that a failing worker is sound.
    Given a worker that has run well
    And it began a task of job "a" at second 1
    When a task of job "b" fails there at second 2
    And the task of job "a" ends well at second 2
    And a task of job "c" fails there at second 3
    Then it takes nothing new

  Scenario: Tasks on a worker fail one after the other
    # Guards against a block doubled for failures of tasks begun before it.
    Given a worker that has run well
    When a task of job "a" fails there at second 2
    And a task of job "b" fails there at second 2
    Then it takes nothing new
    When a task of job "c" fails there at second 3
    Then it takes nothing new for 2 s

  Scenario: Tasks fail by their own fault on a sound worker
    # Guards against a sound worker blocked for two failures in a row.
    Given a worker that has run well
    And it began a task of job "d" at second 1
    And it began a task of job "e" at second 1
    And it began a task of job "b" at second 1
    When a task of job "b" fails there at second 2
    And it began a task of job "c" at second 2
    And a task of job "c" fails there at second 3
    Then it goes on taking tasks

  Scenario: A failure is seen after later tasks have ended well
    # Guards against a failure that counts though later tasks ended well.
    Given a worker that has run well
    And it began a task of job "b" at second 1
    And it began a task of job "d" at second 2
    When the task of job "d" ends well at second 3
    And a task of job "b" fails there at second 4
    And a task of job "c" fails there at second 5
    Then it goes on taking tasks

  Scenario: A worker that still fails everything is tried by one task at a time
    # Guards against all that waits placed on a worker whose block has just ended.
    Given two entries and 2 workers for jobs
    And worker-1's machine fails everything it starts
    When the job "a" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "b" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "c" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "d" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And 8 s pass
    Then at most 11 tasks were started on worker-1

  Scenario: A worker has recovered
    # Guards against a long block for one failure after the trouble is over.
    Given a worker that has run well
    When a task of job "b" fails there at second 2
    And it began a task of job "a" at second 3
    And the task of job "a" ends well at second 4
    And a task of job "c" fails there at second 5
    Then it goes on taking tasks

  Scenario: A job that can never be done does not spoil the workers
    # Guards against workers blocked for a job that fails everywhere.
    Given two entries and 2 workers for jobs
    When the failing job "a" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And the job "b" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    Then the job "b" is "completed" within 3 s
