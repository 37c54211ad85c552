Feature: A worker that is gone, and what its attendant may still tell of it

  Scenario: A worker's VM is lost, and its attendant lives on
    # Guards against a lease row renewed for a worker that answers nobody.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost and its attendant lives on
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM and its attendant are lost together
    # The control to the one above: nobody is left to renew the row.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker is silent for half a lease
    # Guards against a sound worker whose lease lapses behind one lost renewal.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is silent for 1500 ms from just before a renewal
    Then the task "b1" runs on for 3000 ms
    And the task "b1" is finished
    And "b1" was started 1 times

  Scenario: A task ends while no entry is there, and its VM alone is lost
    # Guards against an end that its attendant has seen and nobody stored.
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

  Scenario: A worker's VM starts anew beside its attendant
    # Guards against a lease that goes on in the term of the VM's earlier life.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" starts anew, empty, beside its attendant
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM starts anew before its attendant has seen what runs there
    # Guards against an attempt started again in the new life's old term.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 1 ms
    And the VM that runs "b1" starts anew, empty, beside its attendant
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker loses a task and lives on
    # Guards against a task that counts as running though its worker lists it no more.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" loses it
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A task ends while no entry is there, and its VM starts anew
    # Guards against an end forgotten with the VM's earlier life before it is stored.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And both entries are killed
    And the end of "b1" is seen by its attendant
    And the VM that runs "b1" starts anew, empty, beside its attendant
    And 5000 ms pass
    And both entries start anew, and do not reach the attendant beside "b1"
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: Most VMs are lost, and their attendants live on
    # Guards against proposals used up by attendants of lost VMs.
    Given two entries and 5 workers in memory
    When the VMs of 4 workers are lost and their attendants live on
    And 20000 ms pass
    And "arolwg" submits the task "b1" which runs for 1 s
    And the task "b1" is finished within 10 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker answers, and refuses every renewal
    # Guards against a row renewed for a worker that refuses its lease.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" answers and refuses every renewal
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker answers all but renewals
    # Guards against the same, where renewals are never answered.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" answers all but renewals
    And the task "b1" is finished within 60 s
    Then "b1" was started 2 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker takes a renewal, and its answer is lost
    # A control to the two above: one lost answer must cost nothing.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" takes the next renewal and does not say so
    Then the task "b1" runs on for 6000 ms
    And the task "b1" is finished
    And "b1" was started 1 times
    And no renewal was for no time

  Scenario: An attendant whose renewal is not answered has a successor
    # Guards against a renewal handed over again by an attendant that was replaced.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" takes the next renewal and does not say so
    And a renewal of the VM that runs "b1" is on its way
    And a second attendant is started beside "b1"
    And 5000 ms pass
    Then the first attendant renews nothing any more

  Scenario: A worker refuses renewals from its attendant's start on
    # Guards against tasks taken for a worker before it has taken the first renewal.
    Given two entries and 2 workers in memory
    When worker-01 refuses every renewal, and its attendant is started anew
    And 1000 ms pass
    And "arolwg" submits the task "b1" which runs for 1 s
    And the task "b1" is finished within 3 s
    Then "b1" was started 1 times

  Scenario: A term that no row grants yet takes no task
    # Guards against a task taken in a term that was never written.
    Given two entries and 1 workers in memory
    When worker-01 is cut off from the table, and its VM starts anew just after a renewal
    And 995 ms pass
    And "arolwg" submits the task "b1" which runs for 4 s
    And 300 ms pass
    And the attendant of worker-01 is killed and started anew
    And worker-01 reaches the table again
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice
