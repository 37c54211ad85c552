Feature: A job's tasks run once, whatever fails around the scheduler

  Scenario: A job of two steps
    # Guards against a step started before the step it depends on, and duplicate starts.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 10 s
    And 6 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: The scheduler dies while tasks run
    # Guards against a new scheduler that restarts running tasks.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And the scheduler is killed
    Then the job "a" is "completed" within 20 s
    And 6 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: Every process loses power right after a job was accepted
    # Guards against losing a job of which only the acceptance is stored.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And every daemon is killed and restarted
    Then the job "a" is "completed" within 20 s
    And no task ran twice at the same time or after its end

  Scenario: Every process loses power while tasks run
    # Guards against tasks started elsewhere while their workers still hold leases.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 5 s is submitted at entry-1
    And 1 s pass
    And every daemon is killed and restarted
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: The scheduler freezes and resumes
    # Guards against orders and writes of a scheduler that has been replaced.
    Given two entries and 2 workers for jobs
    When the job "a" of 3 steps with 3 tasks of 2 s is submitted at entry-1
    And 1 s pass
    And the scheduler is frozen for 5 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at the same time or after its end

  Scenario: An attendant dies and comes back within the lease
    # Guards against tasks restarted because a new attendant does not know them.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 3 tasks of 5 s is submitted at entry-1
    And 1 s pass
    And worker-1 is killed and restarted after 2 s
    Then the job "a" is "completed" within 20 s
    And 3 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: A worker crashes and comes back empty
    # Guards against waiting for the lease of an incarnation that has certainly ended.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM crashes
    Then the job "a" is "completed" within 10 s
    And no task ran twice at the same time or after its end

  Scenario: A VM restarts, its attendant first
    # Guards against a poll that is held in a session of no use, so that the runs of the
    # previous incarnation are declared lost, and started again, a second late.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 30 s is submitted at entry-1
    And 2 s pass
    And all entries have links of 20 kB/s
    And the VM of worker-1 restarts, its attendant 300 ms before the worker
    Then 8 tasks were started in total within 400 ms
    And no task ran twice at the same time or after its end

  Scenario: A worker's new incarnation accepts a start meant for the previous one
    # Guards against declaring runs lost with the previous incarnation although the new
    # one has accepted them.
    Given two entries and 2 workers for jobs
    When worker-1's VM crashes
    And the job "a" of 1 steps with 6 tasks of 4 s is submitted at entry-1
    Then the job "a" is "completed" within 15 s
    And no task ran twice at the same time or after its end

  Scenario: A worker's new incarnation answers before it has sent a heartbeat
    # Guards against the same when a poll is the first to show the new incarnation.
    Given two entries and 2 workers for jobs
    When 250 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the job "a" of 1 steps with 6 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM sends heartbeats again
    Then the job "a" is "completed" within 15 s
    And no task ran twice at the same time or after its end

  Scenario: A worker's new incarnation accepts a late start and is never reported
    # Guards against a lease measured by the previous incarnation's clock for a late
    # start.
    Given two entries and 2 workers for jobs
    And the next 3 starts at worker-1 are carried out late
    When 30 s pass
    And the job "a" of 1 steps with 6 tasks of 30 s is submitted at entry-1
    And 200 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And 20 s pass
    Then no task ran twice at the same time or after its end
    And the job "a" is "completed" within 60 s

  Scenario: A worker's new incarnation ends a task before it has sent a heartbeat
    # Guards against an acknowledgement of the previous incarnation's ends that is
    # applied to the new one.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And 200 ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the job "b" of 1 steps with 1 tasks of 0 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM sends heartbeats again
    Then the job "b" is "completed" within 10 s
    And no task ran twice at the same time or after its end

  Scenario Outline: A worker's new incarnation ends a task just after the previous one
    # Guards against the same, while an end of the previous one is to be acknowledged.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And <ms> ms pass
    And worker-1's VM crashes and sends no heartbeats
    And the job "b" of 1 steps with 1 tasks of 0 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM sends heartbeats again
    Then the job "b" is "completed" within 10 s
    And no task ran twice at the same time or after its end

    Examples:
      | ms   |
      | 1010 |
      | 1070 |
      | 1130 |
      | 1190 |
      | 1250 |

  Scenario: A worker that the scheduler lists as silent comes back
    # Guards against a worker that is back but idle until the next renewal.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1 is killed and restarted after 4 s
    And worker-1's VM sends heartbeats again
    And 250 ms pass
    Then 1 tasks run

  Scenario: A worker that is listed as silent comes back while the other entry is dead
    # Guards against an attendant that leaves a scheduler whose lease is still pending.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM crashes and sends no heartbeats
    And worker-1 is killed and restarted after 4 s
    And the other entry freezes
    And worker-1's VM sends heartbeats again
    And 250 ms pass
    Then 1 tasks run

  Scenario: A worker's new incarnation sends a heartbeat and then answers no one
    # Guards against waiting forever for a new incarnation to list its runs.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is submitted at entry-1
    And 500 ms pass
    And worker-1's VM crashes and reports at once
    And worker-1's VM stops answering
    Then the job "a" is "completed" within 25 s
    And no task ran twice at the same time or after its end

  Scenario: A start is refused after an earlier attempt went unanswered
    # Guards against declaring a start rejected that the worker carries out late.
    Given two entries and 2 workers for jobs
    And the next 3 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 6 tasks of 4 s is submitted at entry-1
    And 200 ms pass
    And worker-1's VM drains and reports at once
    Then the job "a" is "completed" within 25 s
    And no task ran twice at the same time or after its end

  Scenario: A worker crashes before the ends of its tasks are stored
    # Guards against losing tasks whose ends were listed but never stored.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 500 ms pass
    And the store is down from now on
    And 2 s pass
    And worker-1's VM crashes
    And every daemon is killed and restarted
    And 2 s pass with the store up again
    Then the job "a" is "completed" within 15 s
    And no task ran twice at the same time or after its end
    And 6 tasks were started in total

  Scenario: A worker that crashed is used again at once
    # Guards against a worker that is back but waits for its attendant's next report.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And worker-1's VM crashes and reports at once
    And 400 ms pass
    Then 1 tasks run

  Scenario: All VMs lose power while tasks write checkpoints
    # Guards against losing checkpoints that were only known in memory.
    Given two entries and 1 workers for jobs
    When the checkpointing job "a" of 1 steps with 2 tasks of 8 s is submitted at entry-1
    And 6 s pass
    And worker-1's VM crashes
    And every daemon is killed and restarted
    Then the job "a" is "completed" within 6 s
    And no task ran twice at the same time or after its end

  Scenario: After a loss of power the workers are back before the entries
    # Guards against attendants that wait for an entry without power while another runs.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And everything loses power and the entries come back 50 ms after worker-1
    And 500 ms pass
    Then 1 tasks run

  Scenario: After a loss of power tasks are spread over all workers
    # Guards against placing all waiting tasks on the first worker to come back.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 6 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And the job "b" of 1 steps with 6 tasks of 60 s is submitted at entry-1
    And everything loses power and worker-1 comes back 60 ms before the other workers
    And 1 s pass
    Then 12 tasks run
    And at most 4 tasks run on any worker

  Scenario: A worker stops answering but keeps running
    # Guards against tasks started elsewhere before the silent worker's lease expires.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is submitted at entry-1
    And 500 ms pass
    And worker-1's VM stops answering
    Then the job "a" is "completed" within 30 s
    And no task ran twice at the same time or after its end

  Scenario: An attendant is cut off from everything while its worker keeps running
    # Guards against the same when no report on the worker arrives at all.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is submitted at entry-1
    And 500 ms pass
    And worker-1 is cut off from the entries and the store for 15 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at the same time or after its end

  Scenario: A start gets no answer and is carried out seconds later
    # Guards against a late order that starts a run a second time.
    Given two entries and 1 workers for jobs
    And the next 2 starts at worker-1 are carried out late
    When the job "a" of 2 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: Starts are carried out and their answers are lost
    Given two entries and 1 workers for jobs
    And the answers to the next 3 starts at worker-1 are lost
    When the job "a" of 1 steps with 3 tasks of 2 s is submitted at entry-1
    Then the job "a" is "completed" within 20 s
    And 3 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: A draining worker gets no new tasks
    # Guards against tasks placed on a worker that is about to leave.
    Given two entries and 2 workers for jobs
    And worker-1's VM drains
    When 3 s pass
    And the job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 10 s
    And nothing was started on worker-1

  Scenario: More tasks than the workers can hold
    # Guards against starts beyond a worker's capacity.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 40 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 20 s
    And no worker ever ran more than 8 tasks
    And no task ran twice at the same time or after its end

  Scenario: A worker leaves together with its attendant
    # Guards against a service that waits for the lease of a worker that has left.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM drains
    And 2 s pass
    Then 4 tasks run
    And nothing runs on worker-1

  Scenario: A worker deregisters and leaves before its tasks have been moved
    # Guards against the same when its attendant keeps running.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM leaves without a notice
    And 3 s pass
    Then 4 tasks run
    And no task ran twice at the same time or after its end

  Scenario: The scheduler changes repeatedly while a worker is lost
    # Guards against schedulers that each wait for a lost worker's whole lease.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is submitted at entry-1
    And 1 s pass
    And worker-1 and its VM are lost
    And the scheduler is replaced 4 times, every 5 s
    Then the job "a" is "completed" within 2 s
    And no task ran twice at the same time or after its end
