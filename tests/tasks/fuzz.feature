Feature: Batch tasks under random combinations of faults

  Scenario: No sequence of faults loses a task, runs it twice or overcommits a VM
    # Daemons, VMs, links, messages and the table fail and recover in any order.
    Then the machine "batch tasks" finds nothing in 40 runs of 25 steps

  Scenario: The oracle detects a VM that is overcommitted
    # Planted fault: the worker's attendant admits every proposed task.
    Then with the planted fault "ledger without bounds" the machine "batch tasks" fails

  Scenario: The oracle detects a task that is started twice
    # Planted fault: an owner that loads the rows treats running tasks as queued.
    Then with the planted fault "running tasks loaded as queued" the machine "batch tasks" fails
