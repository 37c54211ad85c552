Feature: What ran on a worker that is gone for good runs again elsewhere

  # Users take a task that lasts for lost if, with room for it and everything else calm
  # for 4 s, it has no run for 3 s: 7 s after the last trouble all tasks run.

  Scenario: A worker is gone, and the scheduler that heard so is replaced
    # A worker dies for good; its lease ends while the store is down. The scheduler hears so
    # and is replaced before it could store it. Each report of the attendant, which lived
    # on, was granted a lease, so for the next scheduler that of the dead worker never ended:
    # 56 s later "runs_held" was 77, of which 45 were at the other ten workers ("runs_there")
    # and 32 at the dead one, all that it ever had. No "decision:runs-lost" named them.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And 4 s pass
    And the store is down from now on
    And 4 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and its attendant starts anew
    # A worker dies for good. Its attendant is killed before the lease is over and starts
    # anew beside nothing. It reports, as attendants do that have yet to see their worker,
    # and each report ("life":"" in "scheduler:session") was granted a lease: that of the
    # dead worker never ended, and its tasks never ran again.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And worker-1 is killed and started anew after 1 s
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and every process loses power
    # A worker dies for good, and every daemon is killed. The next scheduler knows from its
    # rows that the tasks were there; the attendant that starts anew beside nothing could
    # not say that no lease of before its start can have lasted, so that the scheduler held
    # them, first for ever, then for a whole lease of its predecessor.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And every daemon is killed and started anew
    And 7 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker is gone, and the store fails as it goes
    # As the worker dies the store goes down, so that no scheduler can store that it is
    # silent. The one at work hears that its lease is over ("worker:lease-lapsed" at
    # 18.542 s, said once) and is replaced ("scheduler:deposed" at 22.817 s, nothing decided
    # since 18.083 s). The next one never heard it and waited for a whole lease.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine is gone for good
    And the store is down from now on
    And 7 s pass
    And the scheduler is killed
    And 7 s pass with the store up again
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A word that a worker does not answer arrives seconds late
    # A worker is silent for some seconds, and its attendant says how long it may still run.
    # That report arrives when the worker has long answered again and been granted more.
    # Then the attendant is cut off. Had the old word counted, the tasks would have begun
    # elsewhere while they ran on.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 4 s pass
    And what is sent to the scheduler for 1 s arrives late
    And worker-1's machine answers again
    And 3 s pass
    And worker-1 is cut off from the entries and the store for 5 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A worker answers again as its attendant is cut off
    # A worker is silent for some seconds, and its attendant says how long it may still run.
    # It answers again while the attendant reaches nobody. Had the attendant then told it
    # all that had once been granted, the tasks would have run beside their successors.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 3 s pass
    And worker-1's machine answers again
    And worker-1 is cut off from the entries and the store for 6 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: A word that a worker does not answer arrives after its attendant has died
    # A worker is silent for some seconds, its attendant says how long it may still run, and
    # dies. The next attendant finds the worker answering, and it is granted more; then the
    # old word arrives. Had it counted, the tasks would have run beside their successors.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine falls silent
    And 2 s pass
    And what is sent to the scheduler for 1 s arrives late
    And worker-1 is killed and started anew after 0 s
    And worker-1's machine answers again
    And 2 s pass
    And worker-1 is cut off from the entries and the store for 7 s
    And 2 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end
