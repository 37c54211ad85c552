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

  Scenario: A worker's VM starts anew beside its attendant
    # A task stops in the middle and counts as running for ever. Its VM crashes and is
    # back at once, empty, before the attendant has missed it. The lease goes on in the
    # term of the VM's earlier life, and the attendant tells what it last saw there.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" starts anew, empty, beside its attendant
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM starts anew before its attendant has seen what runs there
    # An attempt of a task runs twice. Its VM crashes right after the start and is back,
    # empty. The attendant renews the lease of the new life in the old term, has seen
    # nothing run, and starts the same attempt again when the owner asks.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 1 ms
    And the VM that runs "b1" starts anew, empty, beside its attendant
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker loses a task and lives on
    # A task stops in the middle and counts as running for ever. The worker no longer
    # lists it; its VM and its lease are what they were, and the attendant tells what it
    # last saw there. The same attempt must not begin again there either.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" loses it
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A task ends while no entry is there, and its VM starts anew
    # A task that has ended runs once more. The entries are down when it ends, and the VM
    # crashes and is back a moment later. The attendant has seen the end and forgets it
    # with all of the VM's earlier life, before it has stored it.
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
    # A task handed in later waits for ever though a sound worker is free. The attendants
    # of the lost VMs go on telling of room there. The three proposals of each round go to
    # them and are refused for want of a lease; the sound worker is never asked.
    Given two entries and 5 workers in memory
    When the VMs of 4 workers are lost and their attendants live on
    And 20000 ms pass
    And "arolwg" submits the task "b1" which runs for 1 s
    And the task "b1" is finished within 10 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker answers, and refuses every renewal
    # A task stops in the middle and is never heard of again, though other workers are
    # free. Its worker answers questions and refuses to have its lease renewed, so it
    # suspends the task. The lease row is written before that shows, again and again, and
    # never lapses.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" answers and refuses every renewal
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker answers all but renewals
    # As above, but the renewal is never answered. Nor may the task go back and forth:
    # in the term after the lapse the attendant has a row again, and must not take a
    # task for a worker that has not taken the renewal.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" answers all but renewals
    And the task "b1" is finished within 60 s
    Then "b1" was started 2 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker takes a renewal, and its answer is lost
    # A control to the two above: one lost answer must cost nothing. The renewal is handed
    # over again, and the row is written on.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" takes the next renewal and does not say so
    Then the task "b1" runs on for 6000 ms
    And the task "b1" is finished
    And "b1" was started 1 times
    And no renewal was for no time

  Scenario: An attendant whose renewal is not answered has a successor
    # Starts are refused for a moment on a sound worker. An attendant waits for the answer
    # to a renewal while another takes its place; it must look at the row before it hands
    # that renewal over again, or the worker takes it for the holder.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" takes the next renewal and does not say so
    And a renewal of the VM that runs "b1" is on its way
    And a second attendant is started beside "b1"
    And 5000 ms pass
    Then the first attendant renews nothing any more

  Scenario: A worker refuses renewals from its attendant's start on
    # A task waits for seconds on a worker that cannot run it, though another is free. The
    # row has been written, and the attendant takes tasks before the worker has taken the
    # renewal.
    Given two entries and 2 workers in memory
    When worker-01 refuses every renewal, and its attendant is started anew
    And 1000 ms pass
    And "arolwg" submits the task "b1" which runs for 1 s
    And the task "b1" is finished within 3 s
    Then "b1" was started 1 times

  Scenario: A term that no row grants yet takes no task
    # A task counts as running for ever and never runs. Its VM has started anew; the
    # attendant begins the next term, cannot write it, and takes the task in it. Started
    # anew, the attendant begins that same term, and stops for good what runs there.
    Given two entries and 1 workers in memory
    When worker-01 is cut off from the table, and its VM starts anew just after a renewal
    And 995 ms pass
    And "arolwg" submits the task "b1" which runs for 4 s
    And 300 ms pass
    And the attendant of worker-01 is killed and started anew
    And worker-01 reaches the table again
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice
