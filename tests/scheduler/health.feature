Feature: Workers that do their tasks no good are left alone

  Scenario: A worker fails everything it starts
    # It says that it is well. A task that fails there has an attempt less, and as
    # an empty worker it would be given the next one at once.
    Given two entries and 3 workers for jobs
    And worker-1's machine fails everything it starts
    When 9 jobs of 1 task of 1 s are handed in, one a second
    Then all 9 jobs are completed within 10 s
    And at most 5 tasks were started on worker-1
    And no task ran twice at a time or after its end

  Scenario: Tasks on a worker stand still
    # Nothing fails and nothing ends there. What makes no progress is stopped and
    # done elsewhere, and the worker takes nothing new for a while.
    Given two entries and 3 workers for jobs
    And tasks on worker-1's machine stand still
    When 6 jobs of 1 task of 1 s are handed in, one a second
    Then all 6 jobs are completed within 10 s
    And no task ran twice at a time or after its end

  Scenario: A worker begins to fail what it starts
    # What it started before goes on and ends well, a task every now and then. Each such
    # end seemed to show that the worker is sound: tasks of nine jobs failed there in
    # three seconds, some of them three times, and used up their attempts.
    Given a worker that has run well
    And it began a task of job "a" at second 1
    When a task of job "b" fails there at second 2
    And the task of job "a" ends well at second 2
    And a task of job "c" fails there at second 3
    Then it takes nothing new

  Scenario: Tasks on a worker fail one after the other
    # All had begun before it was found out. Each that failed doubled the time for which
    # it is left alone, though nothing had been tried there since.
    Given a worker that has run well
    When a task of job "a" fails there at second 2
    And a task of job "b" fails there at second 2
    Then it takes nothing new
    When a task of job "c" fails there at second 3
    Then it takes nothing new for 2 s

  Scenario: Tasks fail by their own fault on a sound worker
    # One task in twenty does, and on a busy worker two of them often do so in a row.
    # The others there are at work at an age at which those two had failed; yet the
    # worker was blocked, 36 times within a minute over eleven workers.
    Given a worker that has run well
    And it began a task of job "d" at second 1
    And it began a task of job "e" at second 1
    And it began a task of job "b" at second 1
    When a task of job "b" fails there at second 2
    And it began a task of job "c" at second 2
    And a task of job "c" fails there at second 3
    Then it goes on taking tasks

  Scenario: A failure is seen after later tasks have ended well
    # The worker has done a task well that it was given after the one that failed.
    Given a worker that has run well
    And it began a task of job "b" at second 1
    And it began a task of job "d" at second 2
    When the task of job "d" ends well at second 3
    And a task of job "b" fails there at second 4
    And a task of job "c" fails there at second 5
    Then it goes on taking tasks

  Scenario: A worker that still fails everything is tried by one task at a time
    # Its room is empty after the block, and all that waits was placed there at once:
    # eight tasks lost an attempt where one would have told as much.
    Given two entries and 2 workers for jobs
    And worker-1's machine fails everything it starts
    When the job "a" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "b" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "c" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And the job "d" of 1 steps with 8 tasks of 2 s is handed in at entry-1
    And 8 s pass
    Then at most 11 tasks were started on worker-1

  Scenario: A worker has recovered
    # A task that was begun after the trouble ends well, so that one failure more is
    # that task's own.
    Given a worker that has run well
    When a task of job "b" fails there at second 2
    And it began a task of job "a" at second 3
    And the task of job "a" ends well at second 4
    And a task of job "c" fails there at second 5
    Then it goes on taking tasks

  Scenario: A job that can never be done does not spoil the workers
    # All its tasks fail, wherever they run. The workers are sound and go on
    # taking work.
    Given two entries and 2 workers for jobs
    When the failing job "a" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And the job "b" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    Then the job "b" is "completed" within 3 s
