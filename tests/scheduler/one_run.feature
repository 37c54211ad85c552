Feature: A job's tasks run once, whatever fails around the scheduler

  Scenario: A job of two steps
    # The second step begins only when the first has ended well, and each task
    # is started once.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 10 s
    And 6 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: The scheduler dies while tasks run
    # The entry that schedules is killed. The other one takes the lease row over,
    # reads what is stored and finds the tasks where they run; it starts none anew.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 4 s is handed in at entry-1
    And 2 s pass
    And the scheduler is killed
    Then the job "a" is "completed" within 20 s
    And 6 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: Every process loses power right after a job was accepted
    # The caller has its answer and nothing has begun. All come back; the job's
    # row is the only trace of it, and it must be done.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 20 s
    And no task ran twice at a time or after its end

  Scenario: Every process loses power while tasks run
    # The workers go on under their leases. The new scheduler must not start the
    # tasks elsewhere, although it has heard of no worker yet.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 5 s is handed in at entry-1
    And 1 s pass
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: The scheduler freezes and wakes
    # It stops for longer than the others wait. They take over. When it wakes it
    # still believes that it schedules; its writes fail, its orders are of a
    # session that no attendant is in any more.
    Given two entries and 2 workers for jobs
    When the job "a" of 3 steps with 3 tasks of 2 s is handed in at entry-1
    And 1 s pass
    And the scheduler is frozen for 5 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: An attendant dies and comes back within the lease
    # Its worker goes on. The new attendant knows nothing, takes the tasks over
    # from the worker's lists and reports them; none is started again.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 3 tasks of 5 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 2 s
    Then the job "a" is "completed" within 20 s
    And 3 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A worker crashes and comes back empty
    # Its new life runs nothing. The attendant hears of it by a heartbeat and the
    # scheduler starts the tasks again, without waiting for any lease.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes
    Then the job "a" is "completed" within 10 s
    And no task ran twice at a time or after its end

  Scenario: A worker crashes, and its new life takes a start meant for the old one
    # The worker comes back at once under its id and carries out the starts that reach
    # it before it has reported. Its attendant then hears of the new life; the runs were
    # given up with the old one and begun elsewhere, beside those in the new life.
    Given two entries and 2 workers for jobs
    When worker-1's machine crashes
    And the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    Then the job "a" is "completed" within 15 s
    And no task ran twice at a time or after its end

  Scenario: A worker's new life answers before it has reported itself
    # A look is answered by the new life: the old one is over. But starts meant for it
    # have been carried out meanwhile, and giving all up at once began them twice.
    Given two entries and 2 workers for jobs
    When 250 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine sends heartbeats again
    Then the job "a" is "completed" within 15 s
    And no task ran twice at a time or after its end

  Scenario: A worker's new life takes a late start and is not heard of
    # A worker crashes and is back at once; its heartbeats get lost. Starts meant for the
    # life before reach it seconds late. The lease end that they carry is on the clock of
    # that life, so that they run longer than it, up to the most that a worker allows.
    # Given up when that lease was over, the tasks ran beside their successors.
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
    # The look meant for the old life still acknowledged that one's first end, also when
    # the connection to it had just broken. The new life forgot its own first end by it, a
    # task done, which nobody had seen: the task was begun again.
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
    # What is listed gets no lease before the list has been stored anew; the worker
    # stood idle until the next renewal was due, up to half a second.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes and sends no heartbeats
    And worker-1 is killed and started anew after 4 s
    And worker-1's machine sends heartbeats again
    And 250 ms pass
    Then 1 tasks run

  Scenario: A worker is back that the scheduler lists as silent, beside a dead entry
    # The scheduler grants a listed worker nothing until its list is stored anew. Its
    # attendant took the answer without a lease for one of a scheduler that is no longer
    # one, asked the entry that does not answer instead, and its worker stood idle.
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
    # Its attendant cannot look at it, so what became of the runs of its earlier life
    # is never shown. They must not wait for ever: no start that it may have taken
    # outlasts a lease.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1's machine crashes and reports at once
    And worker-1's machine falls silent
    Then the job "a" is "completed" within 25 s
    And no task ran twice at a time or after its end

  Scenario: A start is refused after an earlier attempt went unanswered
    # The first attempt gets no answer, and the worker carries it out seconds later.
    # Meanwhile the worker says that it leaves; the attendant gave the start up, the
    # task began elsewhere, and the late order ran it a second time.
    Given two entries and 2 workers for jobs
    And the next 3 starts at worker-1 are carried out late
    When the job "a" of 1 steps with 6 tasks of 4 s is handed in at entry-1
    And 200 ms pass
    And worker-1's machine drains and reports at once
    Then the job "a" is "completed" within 25 s
    And no task ran twice at a time or after its end

  Scenario: A worker crashes before anybody has noted how its tasks ended
    # The store is down, so that the ends cannot be stored and the worker goes on
    # listing them. Then it loses power with all daemons, and nobody will ever know of
    # them: the tasks have to run again, which is no second run by the users' count.
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
    # After a loss of power all workers come back empty within a second. Each was
    # left without orders until its attendant's next report a second later, since
    # what ran there had to be given up first.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine crashes and reports at once
    And 400 ms pass
    Then 1 tasks run

  Scenario: All machines lose power while tasks save their progress
    # Nobody remembers what the workers saved but the store. A build that had worked
    # for 6 of 8 s began anew, with that work thrown away.
    Given two entries and 1 workers for jobs
    When the saving job "a" of 1 steps with 2 tasks of 8 s is handed in at entry-1
    And 6 s pass
    And worker-1's machine crashes
    And every daemon is killed and started anew
    Then the job "a" is "completed" within 6 s
    And no task ran twice at a time or after its end

  Scenario: After a loss of power the workers are back before the entries
    # The attendant asks an entry that has no power yet and waits for an answer that
    # never comes, while the scheduler is up and has introduced itself: each loss of
    # power cost all workers half a second more than it had to.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And everything loses power and the entries come back 50 ms after worker-1
    And 500 ms pass
    Then 1 tasks run

  Scenario: After a loss of power tasks are spread over all workers
    # The first worker to come back was given all that waited, up to its room, some
    # hundredths of a second before the others were there.
    Given two entries and 3 workers for jobs
    When the job "a" of 1 steps with 6 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And the job "b" of 1 steps with 6 tasks of 60 s is handed in at entry-1
    And everything loses power and worker-1 comes back 60 ms before the other workers
    And 1 s pass
    Then 12 tasks run
    And at most 4 tasks run on any worker

  Scenario: A worker falls silent and runs on
    # No answer comes from it, yet its tasks go on until its lease is over. Only
    # then may they be started elsewhere.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1's machine falls silent
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: An attendant is cut off from everything while its worker runs on
    # The scheduler hears nothing and cannot know whether the tasks run. It waits
    # until the lease that it granted has surely ended.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 500 ms pass
    And worker-1 is cut off from the entries and the store for 15 s
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: A start gets no answer and is carried out seconds later
    # The attendant asks again and the worker starts the run. The late order then
    # finds it there, or ended, and must not start it a second time.
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
    # It says that it leaves. From then on tasks go to the other one.
    Given two entries and 2 workers for jobs
    And worker-1's machine drains
    When 3 s pass
    And the job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 10 s
    And nothing was started on worker-1

  Scenario: More tasks than the workers can hold
    # Nothing is started beyond what a worker has; the rest waits for room.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 40 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And no worker ever ran more than 8 tasks
    And no task ran twice at a time or after its end

  Scenario: A worker leaves for good and takes its attendant along
    # It drains, says that it leaves and is gone a moment later, with its VM. A
    # service that ran there must run elsewhere at once, not after a lease.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine drains
    And 2 s pass
    Then 4 tasks run
    And nothing runs on worker-1

  Scenario: A worker says that it leaves and is gone before it was emptied
    # Its word and its silence together are proof that nothing runs there, well
    # before its lease would have ended.
    Given two entries and 2 workers for jobs
    When the lasting job "a" of 1 steps with 4 tasks of 1 s is handed in at entry-1
    And 2 s pass
    And worker-1's machine leaves without a notice
    And 3 s pass
    Then 4 tasks run
    And no task ran twice at a time or after its end

  Scenario: The scheduler changes again and again while a worker is gone
    # Each new scheduler knows only that its predecessors may have granted a lease.
    # If each waited a whole one anew, the tasks of the lost worker would wait for
    # as long as schedulers change.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1 and its machine are lost
    And the scheduler is replaced 4 times, every 5 s
    Then the job "a" is "completed" within 2 s
    And no task ran twice at a time or after its end
