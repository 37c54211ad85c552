Feature: A worker that is gone, and what its attendant may still tell of it

  Scenario: A worker's VM is lost, and its attendant lives on
    # A task stops in the middle and is never heard of again, though other workers
    # are free. Its VM vanishes; the attendant, which runs elsewhere, lives on and
    # renews the lease row for a worker that answers nobody. The row never lapses,
    # so nobody may take the task.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost and its attendant lives on
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM and its attendant are lost together
    # The control to the one above: nobody is left to renew the lease row, it lapses,
    # and the task begins again elsewhere.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker is silent for half a lease
    # A task stands still for a while though its worker never failed. The worker does
    # not answer its attendant just as the lease is renewed. The renewal waits for its
    # time-out; a whole interval more, and the worker's own lease has lapsed.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is silent for 1500 ms from just before a renewal
    Then the task "b1" runs on for 3000 ms
    And the task "b1" is finished
    And "b1" was started 1 times

  Scenario: A task ends while no entry is there, and its VM alone is lost
    # A task that has ended runs once more. The entries are down when it ends, and the
    # VM is lost a moment later. The new entries do not reach its attendant. At the lapse
    # the owner looks for a result; the attendant has seen the end, and has not stored it
    # because the worker answers no more.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And both entries are killed
    And 2500 ms pass
    And the VM that runs "b1" is lost and its attendant lives on
    And both entries start anew, and do not reach the attendant beside "b1"
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice
