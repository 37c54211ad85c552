Feature: What the store refuses for itself stops nothing else

  Scenario Outline: The store refuses each write of <kind>
    # Guards against a scheduler that repeats one transaction for good and does nothing else.
    Given two entries and 2 workers for jobs
    When the job "s" of 1 steps with 1 tasks of 1000 s is submitted at entry-1
    And 2 s pass
    And the store refuses each write of "<row>" from now on
    And interference between 5 images and 5 services with names of 20 characters has been measured
    And 6 s pass
    And a worker and an entry restart
    And the job "a" of 2 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 10 s
    And the scheduler has not changed
    When 40 s pass
    Then the task of "s" was started 1 times
    And the store was asked at most 40 times for what it refuses
    And no task ran twice at the same time or after its end

    Examples:
      | kind                      | row                          |
      | the measured interference | progress/scheduler/pressures |
      | the attendants            | attendants/scheduler/*       |
      | the members               | members//*                   |

  Scenario: The store refuses the record of one job
    # Guards against one job that takes all others with it.
    Given two entries and 2 workers for jobs
    And the store refuses each write of the record of the job "bad"
    When the job "bad" of 1 steps with 3 tasks of 1 s is submitted at entry-1
    And the job "a" of 2 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 8 s
    And the scheduler has not changed
    And the log tells that the job "bad" is withheld
    And no task of "bad" was started
    And the workers hold no run
    When 40 s pass
    Then the store was asked at most 16 times for what it refuses
    And the log tells at most 16 times that tasks of the job "bad" are placed
    And the log tells of each that it is withdrawn
    When the store refuses nothing any more
    Then the job "bad" is "completed" within 70 s
    And the log tells that the job "bad" is stored again
    And 11 tasks were started, each once

  Scenario: The store begins to refuse the record of a job that runs
    # Guards against an end that is acknowledged although the next scheduler cannot know it.
    Given two entries and 2 workers for jobs
    When the job "bad" of 1 steps with 3 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And the store refuses each write of the record of the job "bad"
    And 5 s pass
    And the scheduler is killed
    And 20 s pass
    And the store refuses nothing any more
    Then the job "bad" is "completed" within 70 s
    And 3 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: The store refuses the summary of one job
    # Guards against one job that takes all others with it.
    Given two entries and 2 workers for jobs
    And the store refuses each write of the summary of the job "bad"
    When the job "bad" of 1 steps with 3 tasks of 1 s is submitted at entry-1
    And the job "a" of 2 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 8 s
    And the scheduler has not changed
    When the store refuses nothing any more
    Then the job "bad" is "completed" within 70 s
    And no task ran twice at the same time or after its end

  Scenario: The store takes the rows of many withheld jobs again
    # Guards against jobs that are stored one by one for good.
    Given two entries and 40 workers for jobs
    And the store refuses each write of "progress/scheduler/job.*" from now on
    When 60 jobs of 2 small tasks of 60 s are submitted at once
    And 2 s pass
    And the store refuses nothing any more
    And 50 s pass
    Then 120 tasks were started, each once
    When the store's transactions are counted for 20 s
    Then all jobs of the burst are completed within 1 s
    And the store has executed at most 70 transactions of the scheduler

  Scenario: A withheld job is cancelled
    # Guards against a job that nobody can end because its record is refused.
    Given two entries and 2 workers for jobs
    And the store refuses each write of the record of the job "bad"
    When the job "bad" of 1 steps with 3 tasks of 1 s is submitted at entry-1
    And 30 s pass
    And the job "bad" is cancelled at entry-2 with status 200
    Then the job "bad" is "cancelled" within 1 s
    When the store refuses nothing any more
    And 70 s pass
    Then no task of "bad" was started

  Scenario: One of many jobs that change at once is refused
    # Guards against a search for the row at fault that costs a call for each job.
    Given two entries and 40 workers for jobs
    And the store refuses each write of the record of the job "0-17"
    When 60 jobs of 1 small tasks of 2 s are submitted at once
    And 8 s pass
    Then 59 tasks were started, each once
    And the store was asked at most 16 times for what it refuses

  Scenario: The store refuses the lease row
    # Guards against a holder that neither renews nor goes, and against entries that ask for ever.
    Given two entries and 2 workers for jobs
    When the store refuses each write of "state/scheduler/lease" from now on
    And 5 s pass
    Then no entry takes itself for the scheduler
    When 60 s pass
    Then the store was asked at most 40 times for what it refuses
    When the store refuses nothing any more
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 40 s

  Scenario: The store refuses to delete the rows of one job that ended
    # Guards against a sweep that stops at the first row that cannot be deleted.
    Given two entries and 2 workers for jobs
    And the store refuses each deletion of the acceptance of the job "a"
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And the job "b" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 60 s pass
    Then the state of the job "b" at entry-2 is "410"
    And the state of the job "a" at entry-2 is "completed"
    And the store was asked at most 1 times for what it refuses

  Scenario: The store refuses the acceptance of a job
    # Guards against a caller that is kept waiting for attempts known to be futile.
    Given two entries and 2 workers for jobs
    And the store refuses each write of the acceptance of the job "a"
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And the refusal took less than 50 ms
    And the refusal names 30 s as the time to come back
    And the store was asked at most 1 times for what it refuses

  Scenario: The store refuses a cancellation
    # Guards against a caller that is kept waiting for attempts known to be futile.
    Given two entries and 2 workers for jobs
    And the store refuses each write of the cancellation of the job "a"
    When the job "a" of 1 steps with 1 tasks of 30 s is submitted at entry-1
    And the job "a" is cancelled at entry-2 with status 503
    Then the store was asked at most 1 times for what it refuses

  Scenario: A job is too large to be stored
    # Guards against a caller that sends a job for ever that can never be stored.
    Given two entries and 2 workers for jobs
    When a job with a payload of 60000 bytes is submitted at entry-1
    Then it is answered 400 with "at most 48000 bytes as stored"
    And the store has refused no transaction for its size
