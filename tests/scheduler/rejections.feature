Feature: A rejection counts in the session in which the start was ordered

  A rejection says that a run does not exist and never will. It reaches the scheduler in
  a report, and the rows only with the scheduler's next write.

  Scenario: The scheduler dies before it has stored a rejection
    # Guards against a run that each later scheduler orders and the attendant ignores.
    Given two entries and 1 workers for jobs
    And worker-1's VM refuses all starts
    When the job "a" of 1 steps with 4 tasks of 4 s is submitted at entry-1
    And the store goes down as soon as worker-1's VM is sent a start
    And 200 ms pass
    And the scheduler is killed
    And worker-1's VM accepts starts again
    And 5 s pass with the store up again
    Then the job "a" is "completed" within 20 s
    And no task ran twice at the same time or after its end

  Scenario: An attendant restarts before its rejection is stored
    # Guards against a rejected run that the next attendant starts beside its successor.
    Given two entries and 2 workers for jobs
    And worker-1's VM refuses all starts
    And the next 6 starts at worker-1 are delayed in transit
    When the job "a" of 1 steps with 12 tasks of 4 s is submitted at entry-1
    And the scheduler's writes take 2800 ms once worker-1's VM is sent a start
    And 700 ms pass
    And worker-1's VM accepts starts again
    And worker-1 is killed and restarted after 0 s
    And 2 s pass
    And 1 s pass
    Then no task ran twice at the same time or after its end
    And no worker ever ran more than 8 tasks
    And the job "a" is "completed" within 20 s

  Scenario: A rejection arrives after its attendant has died
    # Guards against a dead attendant's rejection of a run that its successor has started.
    Given two entries and 2 workers for jobs
    And worker-1's VM refuses all starts
    When the job "a" of 1 steps with 12 tasks of 8 s is submitted at entry-1
    And messages sent to the scheduler are late once worker-1's VM is sent a start
    And 1 s pass
    And worker-1 is killed and restarted after 0 s
    And messages sent to the scheduler are in time again
    And worker-1's VM accepts starts again
    And 4 s pass
    Then no task ran twice at the same time or after its end
    And no worker ever ran more than 8 tasks
    And the job "a" is "completed" within 30 s

  Scenario: A rejected order arrives once more after the worker's lease has expired
    # Guards against an attendant that forgets with the lease which runs it has rejected,
    # starts them beside their successors and fills the worker beyond its room.
    Given two entries and 2 workers for jobs
    And worker-1's attendant records its orders
    And worker-1's VM refuses all starts
    When the job "a" of 1 steps with 12 tasks of 30 s is submitted at entry-1
    And 500 ms pass
    And worker-1's VM accepts starts again
    And worker-1's VM stops answering
    And 8 s pass
    And worker-1's VM answers again
    And 300 ms pass
    And all orders recorded at worker-1 arrive once more
    And the job "b" of 1 steps with 4 tasks of 30 s is submitted at entry-1
    And 500 ms pass
    Then no worker ever ran more than 8 tasks
    And no task ran twice at the same time or after its end

  Scenario: The order of a finished run arrives as its worker restarts
    # Guards against an attendant that forgets with an acknowledgement that a run has
    # ended, and starts it again on the worker's new incarnation.
    Given two entries and 1 workers for jobs
    And worker-1's attendant records its orders
    When the job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 5 s
    When 2 s pass
    And worker-1's VM crashes
    And all orders recorded at worker-1 arrive once more
    And 500 ms pass
    Then no task ran twice at the same time or after its end
