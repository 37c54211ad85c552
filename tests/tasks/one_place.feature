Feature: A task runs in one place, is never lost, and no VM is overcommitted

  Scenario: Two entries place tasks on one worker from correct but stale views
    # Guards against a VM overcommitted by two entries at once.
    Given two entries and 1 workers in memory
    When 4 customers each submit 3 tasks of 4 processors
    Then every task is finished
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM is lost
    # Guards against a task that stays lost, or restarts without its checkpoint.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 7000 ms
    And the VM that runs "b1" is lost
    Then every task is finished
    And "b1" was started 2 times, the last with at least 4 s of work done
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An attendant dies and its worker keeps running
    # Guards against a new attendant that admits tasks without counting running ones.
    Given two entries and 1 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the attendant of worker-01 is killed and restarted
    And 4 customers each submit 1 tasks of 4 processors
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An attendant is paused past its lease and resumes
    # Guards against an old attempt that continues while its successor runs.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the attendant of the worker that runs "b1" is paused for 8150 ms
    Then every task is finished
    And "b1" was started 2 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The table is down for a minute, twenty leases long
    # Guards against workers declared lost as soon as the table is back.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the table is down for 60000 ms
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The owner dies between writing the row and starting the task
    # Guards against a task recorded as running that was never started.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 1 s
    And the owner of "b1" is killed as soon as its row says that it runs
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The answer to the owner's write is lost
    # Guards against an owner that mistakes its own row for another's.
    Given two entries and 2 workers in memory
    And the answer to each of the next 3 writes is lost
    When "arolwg" submits the task "b1" until the outcome is certain
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An owner is paused past its lease and resumes with outdated state
    # Guards against writes of an owner that has been replaced.
    Given two entries and 2 workers in memory
    When the owner of customer "arolwg" is paused
    And "arolwg" submits the task "b1" which runs for 3 s at the other entry
    And 12000 ms pass
    And the paused entry resumes
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: One worker fails everything it starts
    # Guards against a failing worker that is always free, and so always chosen.
    Given two entries and 3 workers in memory
    And worker-01 fails everything it starts
    When 4 customers each submit 3 tasks of 4 processors
    Then every task is finished
    And at most 8 attempts failed

  Scenario: A customer cancels all its tasks
    # Guards against cancelled tasks that keep running, or keep their resources.
    Given two entries and 1 workers in memory
    When "arolwg" submits 5 tasks which run for 100 s
    And 2000 ms pass
    And "arolwg" cancels all its tasks
    Then every task of "arolwg" is cancelled and runs nowhere
    When "labs" submits the task "b9" which runs for 1 s
    Then the task "b9" is finished

  Scenario: A task that can never run under its customer's plan
    # Guards against a task that waits forever instead of being refused.
    Given two entries and 1 workers in memory
    When "arolwg" submits the task "huge" of 65 processors
    Then it is refused with status 403

  Scenario: A task accepted while its partition changes owner
    # Guards against a task accepted by an entry that no longer owns its partition.
    Given two entries and 2 workers in memory
    When 4 customers each submit 1 tasks of 4 processors
    And 1500 ms pass
    Then every task has been started

  Scenario: A task ends while its owner cannot learn of it, and the lease lapses
    # Guards against a task that runs again although its result was stored.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" is cut off from the entries
    And 3500 ms pass
    And the VM that runs "b1" is lost
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An entry that has seen many tasks end
    # Guards against records of ended tasks that grow until the entry is killed.
    Given two entries and 2 workers in memory
    When 4 customers each submit 3 tasks of 1 processors
    Then every task is finished
    And no entry holds the spec of any task

  Scenario: A start request arrives long after its attempt has ended
    # Guards against a start requested by an owner that does not know it was replaced.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 1 s
    Then the task "b1" is finished
    When 2000 ms pass
    And the worker of "b1" is asked again to start it
    And 5000 ms pass
    Then "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The table comes back to the entries before it does to the workers
    # Guards against workers declared lost because of rows that nobody could renew.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the table is down for 20000 ms, and 1500 ms more for the workers
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice
