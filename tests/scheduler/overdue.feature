Feature: Tasks that are owed and do not run are noticed

  Scenario: An attendant ignores the orders for a service of 32 tasks
    # Guards against tasks that run nowhere while there is room, unknown to operators.
    Given two entries and 2 workers for jobs
    And worker-1's attendant ignores its orders
    And worker-2's attendant ignores its orders
    And log lines are recorded
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 9 s pass
    Then the scheduler's metrics show 32 overdue tasks held by "attendant"
    And a log line names the tasks of "a" as held by "attendant"

  Scenario: A service waits for a place
    # Guards against a planner that places nothing, unknown to operators.
    Given two entries and 1 workers for jobs
    And log lines are recorded
    And the queue's policy allows only worker-2
    When the service "a" of 32 tasks that need a ticket is submitted
    And 9 s pass
    Then the scheduler's metrics show 32 overdue tasks held by "placement"
    And a log line names the tasks of "a" as held by "placement"

  Scenario: Services that run are not overdue
    # Guards against a monitor that counts what runs.
    Given two entries and 2 workers for jobs
    And log lines are recorded
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 9 s pass
    Then the scheduler's metrics show 0 overdue tasks held by "attendant"
    And no log line names overdue tasks

  Scenario: An attendant restarts and ignores its orders
    # Guards against runs whose attendant does not know them, unknown to operators.
    Given two entries and 1 workers for jobs
    And log lines are recorded
    When the service "a" of 4 tasks that need 100 of 8000 millicores is submitted
    And 3 s pass
    And worker-1 is killed and restarted after 1 s
    And worker-1's attendant ignores its orders
    And 5 s pass
    Then the metrics of worker-1's attendant show 4 runs without an order
    And a log line names 4 runs whose order is missing

  Scenario: Batch tasks wait for room and are placed one after another
    # Guards against lines that blame an attendant or the store for a wait for room.
    Given two entries and 2 workers for jobs
    And log lines are recorded
    When the job "a" of 1 steps with 80 tasks of 3 s is submitted at entry-1
    And 16 s pass
    Then no log line names overdue tasks

  Scenario: An attendant ignores the orders for tasks that have waited for room
    # Guards against a long wait for room that hides who holds the task after it.
    Given two entries and 1 workers for jobs
    And log lines are recorded
    When the job "a" of 1 steps with 8 tasks of 14 s is submitted at entry-1
    And the job "b" of 1 steps with 4 tasks of 14 s is submitted at entry-1
    And 12 s pass
    Then no log line names overdue tasks
    When worker-1's attendant ignores its orders
    And 12 s pass
    Then the scheduler's metrics show 4 overdue tasks held by "attendant"
    And a log line names the tasks of "b" as held by "attendant"
