Feature: An entry rejects jobs that can be of no use

  Scenario: A rejected job
    # Guards against a job that runs although its caller was told that it does not.
    Given two entries that reject useless jobs and 1 workers for jobs
    And log lines are recorded
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1
    And a line "decision:reject" about "a" has "queue, priority, work, path_s, waited_s, wait_s, rate, predicted_end_s, useful_until_s, backlog_version, backlog_age_s, reason, retry_after_s"
    When 10 s pass
    Then no task of "a" was started
    And the store holds no row of "a"
    And the metrics of entry-1 count 1 jobs as "too-late"

  Scenario: A job is rejected at one entry and accepted at another
    # Guards against a job that is lost, or runs twice, because one entry rejected it.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-2
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 10 s
    And 2 tasks were started, each once

  Scenario: An accepted job is submitted again
    # Guards against the rejection of a job that was accepted, here or at another entry
    # whose rows have not arrived yet.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And entry-1 knows a backlog of 1000 s
    And entry-2 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-2
    And the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1
    And the job "a" is "completed" within 10 s
    And 2 tasks were started, each once

  Scenario: A job may be stored
    # Guards against the rejection of a job whose first attempt may still take effect.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And the next 1 writes of the store are carried out late
    Then the job "a" submitted at entry-1 with 400 ms left is answered 504
    When entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 200 at entry-1
    And the job "a" is "completed" within 20 s
    And 1 tasks were started, each once

  Scenario: The store does not tell whether a job is stored
    # Guards against the rejection of a job that another entry may have accepted.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    And the store does not answer reads of jobs
    Then the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1

  Scenario: The store answers neither reads nor writes
    # Guards against an answer after the caller's deadline.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    And the store does not answer reads of jobs
    And the next 9 writes of the store are carried out late
    Then the job "a" is answered 504 at entry-1 within its deadline of 800 ms

  Scenario: The store is silent for some time
    # Guards against callers that wait while the store is known not to answer.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And the store withholds changes
    And the store does not answer reads of jobs
    When 4 s pass
    And entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1
    And the refusal took less than 50 ms

  Scenario: A caller comes back when its job is of no use any more
    # Guards against a useful time that starts again with each attempt.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 52 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1
    When 20 s pass
    And entry-1 knows a backlog of 38 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1
    And the job "b" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1

  Scenario: Jobs for which the backlog predicts nothing
    # Guards against the rejection of a service, or of a job that is due later.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    When the long-running job "s" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And the job "r" is submitted at entry-1 to run 3 times, every 2 s
    And the job "u" of 1 steps with 1 tasks of 0 s is submitted at entry-1
    Then the job "a" of 1 steps with 2 tasks of 1 s is refused at entry-1

  Scenario: The backlog is old
    # Guards against a wait that ended while the backlog was under way, and against an
    # entry that rejects for as long as it does not reach a scheduler.
    Given two entries that reject useless jobs and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 51 s
    When 2 s pass
    Then the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1
    When entry-1 knows a backlog of 1000 s
    Then the job "b" of 1 steps with 2 tasks of 1 s is refused at entry-1
    When 4 s pass
    Then the job "b" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1

  Scenario: A queue without an objective
    # Guards against the rejection of a job that is never too late.
    Given two entries that reject useless jobs and 1 workers for jobs
    And entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1

  Scenario: Entries that accept all jobs
    # Guards against rejections that the settings do not ask for.
    Given two entries and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 0 ms
    And entry-1 knows a backlog of 1000 s
    Then the job "a" of 1 steps with 2 tasks of 1 s is answered 200 at entry-1
