Feature: Batch tasks under every fault at once

  Scenario: No order of faults loses, doubles or overcommits
    # Daemons and VMs die, freeze and come back, links and messages fail, the table too.
    Then the machine "batch tasks" finds nothing in 40 runs of 25 steps

  Scenario: The oracle sees a VM that is overcommitted
    # Planted: the worker's attendant admits whatever is proposed.
    Then with the planted fault "ledger without bounds" the machine "batch tasks" fails

  Scenario: The oracle sees a task that is started twice
    # Planted: an owner that loads the rows treats running tasks as queued.
    Then with the planted fault "moves without attempts" the machine "batch tasks" fails
