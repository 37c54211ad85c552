Feature: Every entry knows how much work is ahead of a new job

  Scenario: An entry is cut off from the scheduler
    # Guards against entries that decide by what the scheduler knew long ago.
    Given 3 entries that use the order "least-cost" and 1 workers for jobs
    When the service "s" of image "svc" that reserves 3000 of 8000 millicores is submitted
    And the job "a" of 1 steps with 40 tasks of 10 s is submitted at entry-1
    And 3 s pass
    Then the backlog is known at "scheduler entry last"
    And a new job has 300 to 400 processor-seconds ahead, at 5 processors
    When that entry is cut off from the scheduling entry
    And 2 s pass
    Then the backlog is known at "scheduler entry last"
    When 2 s pass
    Then the backlog is known at "scheduler last"
    When that entry is connected again
    And 1 s pass
    Then the backlog is known at "scheduler entry last"

  Scenario: Entries know the backlog throughout a take-over
    # Guards against entries that accept a burst of useless jobs with each take-over.
    Given 3 entries that use the order "least-cost" and 1 workers for jobs
    When the job "a" of 1 steps with 40 tasks of 10 s is submitted at entry-1
    And 3 s pass
    And the scheduling entry is killed
    Then the backlog is always known at "entry last" until it is of another scheduler

  Scenario: The answer to a notification carries the backlog
    # Guards against entries that learn of a burst later than the jobs they send.
    Given 3 entries that use the order "least-cost" and 1 workers for jobs
    When the scheduling entry answers pings as an earlier version does
    And the job "a" of 1 steps with 40 tasks of 10 s is submitted at the new scheduler
    And 4 s pass
    Then the backlog is known at "scheduler"
    And the job "b" of 1 steps with 1 tasks of 1 s is submitted at that entry
    And 100 ms pass
    And the backlog is known at "scheduler entry"

  Scenario: Entries with the order of deadlines exchange no backlog
    # Guards against other messages in deployments that do not turn the decisions on.
    Given 3 entries that use the order "deadline" and 1 workers for jobs
    When the job "a" of 1 steps with 40 tasks of 10 s is submitted at entry-1
    And 3 s pass
    Then the backlog is known at "nobody"
    And pings and their answers have only the fields of the check of the holder
