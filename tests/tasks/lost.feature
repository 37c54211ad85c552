Feature: A worker is lost, and its attendant may still report on it

  Scenario: A worker's VM is lost, and its attendant keeps running
    # Guards against a lease row renewed for a worker that answers nobody.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost and its attendant keeps running
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM and its attendant are lost together
    # Control for the scenario above: no attendant is left to renew the row.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is lost
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker is silent for half a lease
    # Guards against a healthy worker whose lease lapses after one lost renewal.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" is silent for 1500 ms from just before a renewal
    Then the task "b1" keeps running for 3000 ms
    And the task "b1" is finished
    And "b1" was started 1 times

  Scenario: A task ends while no entry runs, and its VM alone is lost
    # Guards against an end that the attendant has seen and that nobody stored.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And both entries are killed
    And 2500 ms pass
    And the VM that runs "b1" is lost and its attendant keeps running
    And both entries restart, and do not reach the attendant beside "b1"
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM restarts beside its attendant
    # Guards against a lease that continues in the term of the VM's earlier incarnation.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" restarts empty, and its attendant keeps running
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM restarts before its attendant has listed its tasks
    # Guards against an attempt started again as the new incarnation keeps the term.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 1 ms
    And the VM that runs "b1" restarts empty, and its attendant keeps running
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker loses a task and keeps running
    # Guards against a task that counts as running although no worker lists it.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" loses it
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A task ends while no entry runs, and its VM restarts
    # Guards against an end lost with the VM's earlier incarnation before it is stored.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And both entries are killed
    And the end of "b1" is seen by its attendant
    And the VM that runs "b1" restarts empty, and its attendant keeps running
    And 5000 ms pass
    And both entries restart, and do not reach the attendant beside "b1"
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: Most VMs are lost, and their attendants keep running
    # Guards against a task whose proposals all go to attendants of lost VMs.
    Given two entries and 5 workers in memory
    When the VMs of 4 workers are lost and their attendants keep running
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
    # Guards against a row renewed for a worker that never answers renewals.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" answers all requests but renewals
    And the task "b1" is finished within 60 s
    Then "b1" was started 2 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker accepts a renewal, and its answer is lost
    # Control for the two scenarios above: one lost answer must not stop the task.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" accepts the next renewal, and its answer is lost
    Then the task "b1" keeps running for 6000 ms
    And the task "b1" is finished
    And "b1" was started 1 times
    And every renewal had a positive duration

  Scenario: An attendant whose renewal is not answered has a successor
    # Guards against a renewal repeated by an attendant that has been replaced.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VM that runs "b1" accepts the next renewal, and its answer is lost
    And a renewal of the VM that runs "b1" is in transit
    And a second attendant is started beside "b1"
    And 5000 ms pass
    Then the first attendant sends no more renewals

  Scenario: A worker refuses renewals from its attendant's start on
    # Guards against tasks accepted for a worker before it accepts its first renewal.
    Given two entries and 2 workers in memory
    When worker-01 refuses every renewal, and its attendant is restarted
    And 1000 ms pass
    And "arolwg" submits the task "b1" which runs for 1 s
    And the task "b1" is finished within 3 s
    Then "b1" was started 1 times

  Scenario: No task is accepted in a term that no row grants yet
    # Guards against a task accepted in a term that was never written.
    Given two entries and 1 workers in memory
    When worker-01 is cut off from the table, and its VM restarts just after a renewal
    And 995 ms pass
    And "arolwg" submits the task "b1" which runs for 4 s
    And 300 ms pass
    And the attendant of worker-01 is killed and restarted
    And worker-01 reaches the table again
    And the task "b1" is finished within 60 s
    Then no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's connections become silent
    # Guards against a lease that lapses while one silent connection after the other is
    # tried, or while a call waits on one.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And every process has 12 idle connections to each of its peers
    And every connection that worker opened loses everything
    Then the task "b1" keeps running for 6000 ms
    And the task "b1" is finished
    And "b1" was started 1 times

  Scenario: A worker's connections become silent before its task ends
    # Guards against an end that is noticed after a timeout of half a minute.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And every process has 12 idle connections to each of its peers
    And every connection that worker opened loses everything
    And the task "b1" is finished within 5 s
    Then "b1" was started 1 times

  Scenario: Two workers are lost, and the store refuses the row of the first
    # Guards against lost workers that are never marked because of another one's row.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the VMs of 2 workers are lost and their attendants keep running
    And the store refuses each write of the lease row of worker-01
    Then the lease row of worker-02 says within 20 s that it is lost
