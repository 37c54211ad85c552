Feature: Runs of a permanently lost worker are restarted elsewhere

  # Users consider a long-running task lost if it has no run for 3 s although there is
  # room and nothing has failed for 4 s: 7 s after the last fault, all tasks must run.

  Scenario: A worker is lost, and the scheduler that was notified is replaced
    # Guards against a lost worker's lease that its attendant's reports renew.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And 4 s pass
    And the store is down from now on
    And 4 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker is lost, and its attendant restarts
    # Guards against a lease granted to an attendant that cannot reach its worker.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And worker-1 is killed and restarted after 1 s
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker is lost, and every process loses power
    # Guards against holding runs for the lease granted to the previous attendant.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And every daemon is killed and restarted
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker is lost, and the store fails at the same time
    # Guards against an expired lease reported only once, to a scheduler then replaced.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And the store is down from now on
    And 7 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A report of an unresponsive worker arrives seconds late
    # Guards against an old report that shortens a lease granted after it was sent.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM stops answering
    And 4 s pass
    And messages sent to the scheduler for 1 s arrive late
    And worker-1's VM answers again
    And 3 s pass
    And worker-1 is cut off from the entries and the store for 5 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker answers again while its attendant is cut off
    # Guards against a worker that is sent a lease which the scheduler has shortened.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM stops answering
    And 3 s pass
    And worker-1's VM answers again
    And worker-1 is cut off from the entries and the store for 6 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A report of an unresponsive worker arrives after its attendant has died
    # Guards against a dead attendant's report that shortens its successor's lease.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM stops answering
    And 2 s pass
    And messages sent to the scheduler for 1 s arrive late
    And worker-1 is killed and restarted after 0 s
    And worker-1's VM answers again
    And 2 s pass
    And worker-1 is cut off from the entries and the store for 7 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: An attendant stops just after its worker and the scheduler
    # Guards against a whole lease waited for although little of it was left.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And the store is down from now on
    And 4 s pass
    And the scheduler is killed
    And 0 s pass with the store up again
    And worker-1 has a session with the next scheduler
    And 300 ms pass
    And worker-1's attendant is killed
    And 6 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A VM leaves with its attendant while the scheduler is replaced
    # Guards against a lease whose rest only an attendant knew that has stopped.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And the store is down from now on
    And 4 s pass
    And the scheduler is killed
    And 0 s pass with the store up again
    And worker-1's attendant is asked to stop
    And 7 s pass
    Then 4 tasks run

  Scenario: A VM is lost with its attendant, and two schedulers in a row die
    # Guards against a take-over that forgets which leases are about to end.
    Given 4 entries and 2 workers for jobs
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1 and its VM are lost
    And 4 s pass
    And the scheduler is killed
    And another entry has taken over
    And the scheduler is killed
    And another entry has taken over
    And 7 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A VM is lost with its attendant, and four schedulers in a row die
    # Guards against the same with time in between to load, and a wait for the last one.
    Given 6 entries and 2 workers for jobs
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1 and its VM are lost
    And 4 s pass
    And the scheduler is replaced 4 times, every 2 s
    And 7 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: The answer to the write that takes over is lost
    # Guards against a scheduler that takes over from itself, without the leases.
    Given two entries and 2 workers for jobs
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1 and its VM are lost
    And 4 s pass
    And the scheduler is killed
    And the answers to the next 1 writes of the store are lost
    And another entry has taken over
    And 7 s pass
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A silent worker answers again while a new scheduler loads
    # Guards against runs given up for a lease that a new scheduler has prolonged.
    Given 4 entries and 2 workers for jobs
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1 is cut off from the entries and the store for 3 s
    And the lease row lists worker-1 as silent
    And the scheduler is killed
    And another entry has taken over
    And the lease row lists worker-1 as silent
    And the scheduler is killed
    And 8 s pass
    Then 32 tasks run
    And 32 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: A silent worker reports to a scheduler that dies before it has written
    # Guards against a lease granted by a scheduler whose row still lists the worker.
    Given 4 entries and 2 workers for jobs
    When the service "a" of 32 tasks that need 100 of 8000 millicores is submitted
    And 2 s pass
    And worker-1 is cut off from the entries and the store for 3 s
    And the lease row lists worker-1 as silent
    And the scheduler is killed
    And another entry has taken over
    And the store is down from now on
    And 1200 ms pass
    And the lease row lists worker-1 as silent
    And the scheduler is killed
    And 0 s pass with the store up again
    And worker-1 is cut off from the entries and the store for 9 s
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker is lost, and its attendant ends right after a take-over
    # Guards against a new scheduler that waits for a whole lease, since the only report
    # of a silent worker that it gets was sent before its session.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And the scheduler is killed
    And worker-1's attendant ends 700 ms after the next scheduler grants it a session
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker, its attendant and the scheduler are lost at the same time
    # Guards against a new scheduler that waits longer for a lost worker's lease than
    # users wait for its tasks.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And worker-1's attendant is killed
    And the scheduler is killed
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario Outline: A worker, its attendant and the scheduler are lost one after another
    # Guards against the same, whichever is lost first.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And <first>
    And <gap> ms pass
    And <second>
    And <gap> ms pass
    And <third>
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

    Examples:
      | first                             | gap  | second                            | third                             |
      | worker-1's VM is lost permanently | 300  | the scheduler is killed           | worker-1's attendant is killed    |
      | worker-1's VM is lost permanently | 1300 | worker-1's attendant is killed    | the scheduler is killed           |
      | the scheduler is killed           | 600  | worker-1's VM is lost permanently | worker-1's attendant is killed    |
      | the scheduler is killed           | 2000 | worker-1's attendant is killed    | worker-1's VM is lost permanently |
      | worker-1's attendant is killed    | 1000 | worker-1's VM is lost permanently | the scheduler is killed           |
      | worker-1's attendant is killed    | 2600 | the scheduler is killed           | worker-1's VM is lost permanently |
