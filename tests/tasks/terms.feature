Feature: What holds of an attempt holds across restarts and terms of its worker

  Scenario: A worker's lease was lost, and its new term cannot begin at once
    # Guards against a lost term that continues although its tasks run elsewhere.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is silent until the task is assigned elsewhere
    And that VM answers again, but lists no tasks for 1500 ms
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A VM and its attendant restart, and the new term cannot begin at once
    # Guards against a term that begins again, and with it an attempt that was lost.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" and its attendant restart
    And that VM answers again, but lists no tasks for 1200 ms
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A failed attempt is never forgotten by its worker
    # Guards against a worker that refuses all later attempts of a task.
    Given two entries and 1 workers in memory
    And worker-01 fails everything it starts
    When "arolwg" submits the task "b1" which runs for 1 s
    And the owner of "b1" is killed as soon as its row says that an attempt failed
    And worker-01 runs tasks well again
    Then the task "b1" is finished

  Scenario: A worker loses a task, and its attendant restarts
    # Guards against an attempt started again by an attendant that never saw it run.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" loses it
    And 500 ms pass
    And the attendant beside "b1" is killed and restarted
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A start reaches a worker's VM in a later term
    # Guards against a start of a lost term that the VM accepts beside its successor.
    Given two entries and 2 workers in memory
    And the next start reaches its VM after 9000 ms
    When "arolwg" submits the task "b1" which runs for 20 s
    And "b1" is assigned, and its worker cut off from the table until it is lost
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A new term begins while an attendant checks a start
    # Guards against a start judged by its row's term before that term has ended.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And "b1" is assigned, and its worker is cut off from the entries for 11000 ms
    And the VM of "b1" restarts empty as its row is read, which is answered 1900 ms later
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A replaced attendant resumes beside a VM that has restarted
    # Guards against tasks of its successor that a replaced attendant stops.
    Given two entries and 1 workers in memory
    When the attendant of worker-01 is paused, its VM restarts, and a second one is started
    And 3000 ms pass
    And "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the paused attendant resumes
    Then the task "b1" keeps running for 3000 ms
    And the task "b1" is finished
    And "b1" was started 1 times

  Scenario: A task is cancelled after its attempt has failed
    # Guards against a cancelled task that is started again.
    Given two entries and 1 workers in memory
    And worker-01 fails everything it starts
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" is cut off from the entries
    And 2500 ms pass
    And "arolwg" cancels all its tasks
    And the entries reach the workers again
    Then every task of "arolwg" is cancelled and runs nowhere
    And "b1" was started 1 times
