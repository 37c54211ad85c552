Feature: Leases that a new incarnation took from calls meant for the previous one

  Scenario: A worker restarts under its id, accepts starts, and falls silent
    # Guards against runs declared lost by a lease that the new incarnation exceeds: its
    # clock began later than that of the incarnation which the lease was meant for.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 1 s pass
    And worker-1's VM stops answering
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: The attendant of such a worker restarts before it falls silent
    # Guards against a new attendant's word on a lease that it has not issued.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker falls silent as the scheduler is replaced
    # Guards against a next scheduler that does not know of the longer lease.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And 1 s pass
    And the scheduler is killed
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker restarts again and is lost
    # Guards against runs kept for the longer lease of an incarnation that has ended.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM crashes and reports at once
    And 1 s pass
    And worker-1's VM is lost permanently
    And 7 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker's attendant and the scheduler are both replaced
    # Guards against a longer lease that only processes knew of which have ended.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And the scheduler is killed
    And 20 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Scheduler and attendant are replaced as such a worker falls silent
    # Guards against a new attendant's ignorance taken for the knowledge that no incarnation
    # holds a longer lease.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And the scheduler is killed
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM stops answering
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker falls silent, then the scheduler and its attendant are replaced
    # Guards against the same, with time in between in which a new scheduler loads.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And worker-1's VM stops answering
    And 300 ms pass
    And the scheduler is killed
    And 1 s pass
    And worker-1 is killed and restarted after 0 s
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker's attendant restarts twice, and the scheduler is replaced
    # Guards against the same, where the first new attendant knew and the next does not.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM sends heartbeats again
    And 500 ms pass
    And the scheduler is killed
    And 300 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM stops answering
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Such a worker's attendant is replaced before the worker reports itself
    # Guards against starts that only an attendant which has ended knew to be accepted.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the long-running job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 50 ms pass
    And worker-1's VM stops answering
    And worker-1 is killed and restarted after 0 s
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: Starts that were never answered are carried out by the new incarnation
    # Guards against a longer lease that its attendant has no answer to know of, and that
    # covers the runs which the new incarnation gets itself.
    Given two entries and 2 workers for jobs
    And the next 20 starts at worker-1 are carried out late
    And worker-2's VM refuses all starts
    When the job "a" of 1 steps with 4 tasks of 30 s is submitted at entry-1
    And 4300 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1's VM ignores polls
    And 4 s pass
    And worker-1's VM no longer ignores polls
    And worker-1's VM sends heartbeats again
    And 700 ms pass
    And worker-1's VM stops answering
    And worker-2's VM accepts starts again
    And 15 s pass
    Then no task ran twice at the same time or after its end

  Scenario: A new incarnation that accepted a start gets runs of its own
    # Guards against a longer lease that covers later runs too, and that only processes
    # knew of which have ended.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1's VM sends heartbeats again
    And 1 s pass
    And the long-running job "b" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And the scheduler is killed
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM stops answering
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end

  Scenario: The attendant of such a new incarnation restarts twice
    # Guards against the same, where the new attendant has polled it.
    Given two entries and 2 workers for jobs
    When 10 s pass
    And 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the job "a" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 100 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM sends heartbeats again
    And the scheduler is killed
    And 2 s pass
    And the long-running job "b" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 500 ms pass
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM stops answering
    And 25 s pass
    Then 6 tasks run
    And no task ran twice at the same time or after its end
