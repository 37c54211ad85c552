Feature: What was held on a worker that is lost, and by whom it is known

  Scenario: A worker lists a new life, is lost, and the scheduler is replaced
    # Guards against a next scheduler that knows the lease, and not of the new life's starts.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the lasting job "a" of 1 steps with 6 tasks of 1 s is handed in at entry-1
    And 100 ms pass
    And worker-1's machine sends heartbeats again
    And worker-1's machine falls silent
    And 20 ms pass
    And worker-1 and its machine are lost
    And 4 s pass
    And the scheduler is killed
    And 15 s pass
    Then 6 tasks run
    And no task ran twice at a time or after its end

  Scenario: A new life carries out a start seconds late and holds it for a whole lease
    # Guards against a start that the next life runs unheard while it begins elsewhere.
    Given two entries and 2 workers for jobs
    And the next 6 starts at worker-1 are carried out late
    When 10 s pass
    And the lasting job "a" of 1 steps with 6 tasks of 1 s is handed in at entry-1
    And 50 ms pass
    And worker-1's machine crashes and reports at once
    And worker-1's machine falls silent
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at a time or after its end

  Scenario: The new scheduler cannot read who is there
    # Guards against a scheduler that introduces itself to nobody after one failed reading.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And the scheduler loses the store for good
    And another scheduler has taken over, and cannot read the store for 3000 ms
    And 12 s pass
    Then 4 tasks run
    And 4 tasks were started, each once

  Scenario: A new life takes a start, and nobody hears of that life
    # Guards against a lease counted by the old life's clock for what the new one runs.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the lasting job "a" of 1 steps with 6 tasks of 1 s is handed in at entry-1
    And 100 ms pass
    And worker-1's machine falls silent
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at a time or after its end

  Scenario: A new life takes a start, and its attendant starts anew without it
    # Guards against the same, where the attendant that knew of it has died.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the lasting job "a" of 1 steps with 6 tasks of 1 s is handed in at entry-1
    And 100 ms pass
    And worker-1's machine falls silent
    And worker-1 is killed and started anew after 0 s
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at a time or after its end

  Scenario: A late word that a worker leaves arrives as it is silent for a moment
    # Guards against an old notice and one unanswered look taken for a worker's end.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And a late word that worker-1's machine leaves arrives
    And worker-1's machine falls silent
    And 2 s pass
    And worker-1's machine answers again
    And 2 s pass
    Then no task ran twice at a time or after its end

  Scenario: A worker that answers looks takes no start
    # Guards against a start asked for again without end where it is never answered.
    Given two entries and 2 workers for jobs
    And worker-1's machine answers looks and never takes a start
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 60 s
