Feature: A job's tasks run once, whatever fails around the scheduler

  Scenario: A job of two steps
    # Guards against a step begun before the one it waits for, and tasks started twice.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 10 s
    And 6 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: The scheduler dies while tasks run
    # Guards against a next scheduler that starts anew what runs.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 4 s is handed in at entry-1
    And 2 s pass
    And the scheduler is killed
    Then the job "a" is "completed" within 20 s
    And 6 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: Every process loses power right after a job was accepted
    # Guards against a job forgotten of which only the acceptance is stored.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 20 s
    And no task ran twice at a time or after its end

  Scenario: Every process loses power while tasks run
    # Guards against tasks started elsewhere while their workers go on under leases.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 5 s is handed in at entry-1
    And 1 s pass
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: The scheduler freezes and wakes
    # Guards against orders and writes of a scheduler that has been replaced.
    Given two entries and 2 workers for jobs
    When the job "a" of 3 steps with 3 tasks of 2 s is handed in at entry-1
    And 1 s pass
    And the scheduler is frozen for 5 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: An attendant dies and comes back within the lease
    # Guards against tasks started again because a new attendant knows nothing of them.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 3 tasks of 5 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 2 s
    Then the job "a" is "completed" within 20 s
    And 3 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A worker crashes and comes back empty
    # Guards against waiting for the lease of a life that has surely ended.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes
    Then the job "a" is "completed" within 10 s
    And no task ran twice at a time or after its end

  Scenario: A worker crashes, and its new life takes a start meant for the old one
    # Guards against runs given up with the old life that the new one has taken.
    Given two entries and 2 workers for jobs
    When worker-1's machine crashes
    And the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    Then the job "a" is "completed" within 15 s
    And no task ran twice at a time or after its end

  Scenario: A worker's new life answers before it has reported itself
    # Guards against the same, where a look is the first to show the new life.
    Given two entries and 2 workers for jobs
    When 250 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine sends heartbeats again
    Then the job "a" is "completed" within 15 s
    And no task ran twice at a time or after its end

  Scenario: A worker's new life takes a late start and is not heard of
    # Guards against a lease counted by the old life's clock for a start that came late.
    Given two entries and 2 workers for jobs
    And the next 3 starts at worker-1 are carried out late
    When 30 s pass
    And the job "a" of 1 steps with 6 tasks of 30 s is handed in at entry-1
    And 200 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And 20 s pass
    Then no task ran twice at a time or after its end
    And the job "a" is "completed" within 60 s

  Scenario: A worker's new life has ended a task before it has reported itself
    # Guards against an acknowledgement of the old life's ends that reaches the new one.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And 200 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the job "b" of 1 steps with 1 tasks of 0 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine sends heartbeats again
    Then the job "b" is "completed" within 10 s
    And no task ran twice at a time or after its end

  Scenario: A worker is back that the scheduler lists as silent
    # Guards against a worker that is back and idle until the next renewal.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes and sends no heartbeats
    And worker-1 is killed and started anew after 4 s
    And worker-1's machine sends heartbeats again
    And 250 ms pass
    Then 1 tasks run

  Scenario: A worker is back that the scheduler lists as silent, beside a dead entry
    # Guards against an attendant that leaves a scheduler which has yet to grant it a lease.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes and sends no heartbeats
    And worker-1 is killed and started anew after 4 s
    And the other entry freezes
    And worker-1's machine sends heartbeats again
    And 250 ms pass
    Then 1 tasks run

  Scenario: A worker's new life says that it is there and then answers nobody
    # Guards against runs that wait for ever to be shown by a new life.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1's machine crashes and reports at once
    And worker-1's machine falls silent
    Then the job "a" is "completed" within 25 s
    And no task ran twice at a time or after its end

  Scenario: A start is refused after an earlier attempt went unanswered
    # Guards against a start given up that the worker carries out late.
    Given two entries and 2 workers for jobs
    And the next 3 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    And 200 ms pass
    And worker-1's machine drains and reports at once
    Then the job "a" is "completed" within 25 s
    And no task ran twice at a time or after its end

  Scenario: A worker crashes before anybody has noted how its tasks ended
    # Guards against tasks lost whose ends were listed and never stored.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 500 ms pass
    And the store is down from now on
    And 2 s pass
    And worker-1's machine crashes
    And every daemon is killed and started anew
    And 2 s pass with the store up again
    Then the job "a" is "completed" within 15 s
    And no task ran twice at a time or after its end
    And 6 tasks were started in all

  Scenario: A worker that crashed is used again at once
    # Guards against a worker that is back and waits for its attendant's next report.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes and reports at once
    And 400 ms pass
    Then 1 tasks run

  Scenario: All machines lose power while tasks save their progress
    # Guards against saved work thrown away since only memory knew of it.
    Given two entries and 1 workers for jobs
    When the saving job "a" of 1 steps with 2 tasks of 8 s is handed in at entry-1
    And 6 s pass
    And worker-1's machine crashes
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 6 s
    And no task ran twice at a time or after its end

  Scenario: After a loss of power the workers are back before the entries
    # Guards against attendants that wait for an entry without power while another is up.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And everything loses power and the entries come back 50 ms after worker-1
    And 500 ms pass
    Then 1 tasks run

  Scenario: After a loss of power tasks are spread over all workers
    # Guards against all that waits placed on the first worker to come back.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 6 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And the job "b" of 1 steps with 6 tasks of 60 s is handed in at entry-1
    And everything loses power and worker-1 comes back 60 ms before the other workers
    And 1 s pass
    Then 12 tasks run
    And at most 4 tasks run on any worker

  Scenario: A worker falls silent and runs on
    # Guards against tasks started elsewhere before the silent worker's lease is over.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1's machine falls silent
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: An attendant is cut off from everything while its worker runs on
    # Guards against the same, where nothing at all is heard of the worker.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1 is cut off from the entries and the store for 15 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: A start gets no answer and is carried out seconds later
    # Guards against a late order that starts a run a second time.
    Given two entries and 1 workers for jobs
    And the next 2 starts at worker-1 are carried out late
    When the job "a" of 2 steps with 2 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: Starts are carried out and their answers are lost
    Given two entries and 1 workers for jobs
    And the answers to the next 3 starts at worker-1 are lost
    When the job "a" of 1 steps with 3 tasks of 2 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And 3 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A worker that drains gets nothing new
    # Guards against tasks placed on a worker that is about to leave.
    Given two entries and 2 workers for jobs
    And worker-1's machine drains
    When 3 s pass
    And the job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 10 s
    And nothing was started on worker-1

  Scenario: More tasks than the workers can hold
    # Guards against starts beyond what a worker has.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 40 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And no worker ever ran more than 8 tasks
    And no task ran twice at a time or after its end

  Scenario: A worker leaves for good and takes its attendant along
    # Guards against a service that waits for the lease of a worker that said it leaves.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine drains
    And 2 s pass
    Then 4 tasks run
    And nothing runs on worker-1

  Scenario: A worker says that it leaves and is gone before it was emptied
    # Guards against the same, where its attendant lives on.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine leaves without a notice
    And 3 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: The scheduler changes again and again while a worker is gone
    # Guards against a lost worker's lease waited for anew by each scheduler.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1 and its machine are lost
    And the scheduler is replaced 4 times, every 5 s
    Then the job "a" is "completed" within 2 s
    And no task ran twice at a time or after its end
