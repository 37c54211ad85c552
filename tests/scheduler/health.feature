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

  Scenario: A job that can never be done does not spoil the workers
    # All its tasks fail, wherever they run. The workers are sound and go on
    # taking work.
    Given two entries and 2 workers for jobs
    When the failing job "a" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And the job "b" of 1 steps with 8 tasks of 1 s is handed in at entry-1
    Then the job "b" is "completed" within 3 s
