Feature: Jobs under every fault at once

  Scenario: No order of faults loses or doubles a task of a job
    # Daemons, workers, links and the store fail in any order; the oracle knows what runs.
    Then the machine "jobs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle sees a run that is given up too early
    # Planted: a worker that is silent is given up while its lease still runs.
    Then with the planted fault "runs given up early" the machine "jobs" fails

  Scenario: The oracle sees a refusal that is not true
    # Planted: a job whose acceptance is open is refused as one that will never run.
    Then with the planted fault "refusals without proof" the machine "jobs" fails

  Scenario: The oracle sees runs that a lost worker holds for ever
    # Planted: a worker's lease is prolonged by an attendant that does not reach it.
    Then with the planted fault "leases renewed for workers out of reach" the machine "jobs" fails
