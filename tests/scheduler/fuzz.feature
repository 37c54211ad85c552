Feature: Jobs under every fault at once

  Scenario: No order of faults loses or doubles a task of a job
    # Entries and attendants die, freeze and come back, links are cut, workers crash,
    # fall silent and carry orders out late, the store is down, late or loses answers.
    # The oracle knows what runs where, what has ended, and what callers were told.
    Then the machine "jobs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle sees a run that is given up too early
    # Planted: a worker that is silent is given up while its lease still runs.
    Then with the planted fault "runs given up early" the machine "jobs" fails

  Scenario: The oracle sees a refusal that is not true
    # Planted: a job whose acceptance is open is refused as one that will never run.
    Then with the planted fault "refusals without proof" the machine "jobs" fails

  Scenario: The oracle sees runs that a lost worker holds for ever
    # Planted: a worker's lease is prolonged by the word of an attendant that does not
    # reach it, or has never seen it. A worker that never comes back keeps its runs.
    Then with the planted fault "leases renewed for workers out of reach" the machine "jobs" fails
