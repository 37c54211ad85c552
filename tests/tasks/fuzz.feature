Feature: Batch tasks under every fault at once

  Scenario: No order of faults loses, doubles or overcommits
    # Daemons and VMs die, freeze and return; links, messages and the table fail too.
    Then the machine "batch tasks" finds nothing in 40 runs of 25 steps

  Scenario: The oracle sees a VM that is overcommitted
    # Planted fault: the worker's attendant admits every reservation.
    Then with the planted fault "ledger without bounds" the machine "batch tasks" fails

  Scenario: The oracle sees a task that is started twice
    # Planted fault: an owner treats running tasks as queued when it loads the rows.
    Then with the planted fault "running tasks loaded as queued" the machine "batch tasks" fails
