Feature: Workers that answer polls and leave other calls unanswered

  Scenario: A worker answers neither starts nor stops
    # Guards against a task that waits for good for the confirmed stop of a run that its
    # worker has never started.
    Given two entries and 2 workers for jobs
    And worker-1's VM ignores starts
    And worker-1's VM ignores stops
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 8 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker ignores starts and executes stops without an answer
    # Guards against the same where only the answer to the stop is lost.
    Given two entries and 2 workers for jobs
    And worker-1's VM ignores starts
    And worker-1's VM leaves stops unanswered
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 8 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A gang breaks while one of its workers answers neither starts nor stops
    # Guards against a gang that waits for good for the confirmed stop of a member that
    # has never started.
    Given two entries and 2 workers for jobs
    And worker-1's VM ignores starts
    And worker-1's VM ignores stops
    When the failing gang "a" of 12 tasks of 1 s is submitted at entry-1
    Then the job "a" is "failed" within 12 s
    And no task ran twice at the same time or after its end

  Scenario: Starts are executed late on a worker that answers no stops
    # Guards against a run that is rejected and started late beside its successor.
    Given two entries and 2 workers for jobs
    And worker-1's VM ignores starts
    And worker-1's VM ignores stops
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 1 s pass
    And worker-1's VM no longer ignores starts
    And the next 48 starts at worker-1 are carried out late
    And 9 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker answers no speed limits
    # Guards against polls, leases and ends that wait for a worker's answer to a limit.
    Given two entries and 1 workers for jobs
    And worker-1's VM ignores speed limits
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 2 tasks of 4 s is submitted at entry-1
    And the job "a" of 2 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 7 s
    And the job "f" is "completed" within 12 s
    And no task ran twice at the same time or after its end
