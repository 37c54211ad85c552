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
