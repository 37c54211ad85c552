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

  Scenario: A worker's new incarnation does not answer
    # Guards against blaming an attendant that waits for its worker.
    Given two entries and 1 workers for jobs
    And log lines are recorded
    When the service "a" of 4 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1's VM crashes and reports at once
    And worker-1's VM stops answering
    And 13 s pass
    Then the scheduler's metrics show 4 overdue tasks held by "lease"
    And the scheduler's metrics show 0 overdue tasks held by "attendant"
    And a log line names the tasks of "a" as held by "lease"

  Scenario: A service waits for workers that fail everything
    # Guards against blocked workers mistaken for full ones.
    Given two entries and 2 workers for jobs
    And worker-1's VM fails everything it starts
    And worker-2's VM fails everything it starts
    And log lines are recorded
    When the job "x" of 1 steps with 8 tasks of 1 s is submitted at entry-1
    And the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 12 s pass
    Then a log line names the tasks of "a" as held by "placement"
    And a log line says that "a" waits for "health"

  Scenario: The store is down as a worker is lost
    # Guards against blaming attendants whose reports wait for the store.
    Given two entries and 2 workers for jobs
    And log lines are recorded
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1's VM is lost permanently
    And the store is down from now on
    And 11 s pass
    Then the scheduler's metrics show 32 overdue tasks held by "store"
    And the scheduler's metrics show 0 overdue tasks held by "attendant"
    And a log line names the tasks of "a" as held by "store"
