Feature: How a run ended counts, also where its start is asked for again

  Scenario: A run fails while its start is asked for again, and a look is lost
    # An attendant dies and starts anew beside a task at work, whose start is asked for
    # again. The task fails before that start arrives; the look that shows so is lost, and
    # the start is refused as known. The failure was not counted: a task that may be tried
    # twice was started three times.
    Given two entries and 1 workers for jobs
    When the failing job "a" of 1 steps with 1 tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 1 s
    And what runs on worker-1 ends right after its new attendant's first look
    And the answer to worker-1's next look is lost
    Then the job "a" is "failed" within 15 s
    And 2 tasks were started in all
    And no task ran twice at a time or after its end

  Scenario: A run is done while its start is asked for again, and a look is lost
    # As before, but the task ends well. The scheduler took the refusal for a stop and
    # began the task again after its end.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 1 s
    And what runs on worker-1 ends right after its new attendant's first look
    And the answer to worker-1's next look is lost
    Then the job "a" is "completed" within 15 s
    And 1 tasks were started in all
    And no task ran twice at a time or after its end

  Scenario: More runs ended beside a dead attendant than a look lists
    # A worker lists its oldest 500 ends; of more, the others only once those are
    # acknowledged. The new attendant's starts of them were refused, and tasks that had
    # ended well were begun again.
    Given two entries and 1 workers for jobs
    When the job "a" of 520 small tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 4 s
    Then the job "a" is "completed" within 15 s
    And 520 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: More runs ended than a look lists, and none is acknowledged for a while
    # As before, while the store is down: the same 500 ends are listed again and again,
    # and what is missing among them was taken for what was never there.
    Given two entries and 1 workers for jobs
    When the job "a" of 520 small tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 4 s
    And the store is down from worker-1's next look on
    And 2 s pass
    And 1 s pass with the store up again
    Then the job "a" is "completed" within 15 s
    And 520 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: More runs ended than a look lists, and answers to starts are lost
    # As before; the first starts of the new attendant are refused and the answers lost.
    # It stops what it then finds refused, and looks for an end that is not listed yet.
    Given two entries and 1 workers for jobs
    When the job "a" of 520 small tasks of 4 s is handed in at entry-1
    And 1 s pass
    And the answers to the next 520 starts at worker-1 are lost
    And worker-1 is killed and started anew after 4 s
    And the store is down from worker-1's next look on
    And 2 s pass
    And 1 s pass with the store up again
    Then the job "a" is "completed" within 15 s
    And 520 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A run is done at a worker that then takes nothing new
    # A task ends well after the new attendant's first look, and the next look is lost.
    # The worker, unhealthy for a while, refuses the start without a look at what it had.
    # The task was begun again after its end.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 1 s
    And what runs on worker-1 ends right after its new attendant's first look
    And the answer to worker-1's next look is lost
    And worker-1's machine is unhealthy for 500 ms
    Then the job "a" is "completed" within 15 s
    And 2 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: An attendant starts anew beside a worker that drains
    # The worker says that it leaves while its attendant is dead; its tasks would end in
    # time. The new attendant refused their starts, since the worker takes nothing new,
    # and the tasks were begun elsewhere beside those at work.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine drains
    And worker-1 is killed and started anew after 1 s
    Then the job "a" is "completed" within 15 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A start that is slow on its way is overtaken by the next scheduler's
    # A start is under way when the scheduler hands over. The next one has it asked for
    # again, and the worker, which begins the task, shuts the slow start out. That refusal
    # was taken for the task's end: it was begun a second time beside itself.
    Given two entries and 2 workers for jobs
    When the job "b" of 1 steps with 2 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And the next 1 starts at worker-1 are slow on their way
    And the job "a" of 1 steps with 2 tasks of 4 s is handed in at entry-1
    And 50 ms pass
    And the scheduler hands over, and worker-1 is in a session of the next one
    And 60 ms pass
    And what runs on worker-1 ends
    Then the job "a" is "completed" within 15 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A start asked for twice is refused in a session that is over
    # A start gets no answer. Asked for again, it is overtaken by the next scheduler's and
    # shut out; the attendant took the run for one that it was stopping, in the new session
    # too, and passed over the order to stop it: a cancelled task ran on.
    Given two entries and 2 workers for jobs
    When the job "b" of 1 steps with 2 tasks of 60 s is handed in at entry-1
    And 1 s pass
    And the next 1 starts at worker-1 are carried out late
    And the job "a" of 1 steps with 2 tasks of 60 s is handed in at entry-1
    And 750 ms pass
    And the next 1 starts at worker-1 are slow on their way
    And 100 ms pass
    And the scheduler hands over, and worker-1 is in a session of the next one
    And 60 ms pass
    And what runs on worker-1 ends
    And 1 s pass
    Then 3 tasks run
    When the job "a" is cancelled at the scheduler with status 200
    And 3 s pass
    Then nothing runs on worker-1
    And no task ran twice at a time or after its end

  Scenario: The answer to a start is lost, and the run has ended before it is asked again
    # The run was begun, ended well and was stored as done, all before its start was taken
    # for unanswered. The start was asked for again all the same; by then the worker had
    # crashed, and its new life, which knew of no such run, began the task again.
    Given two entries and 1 workers for jobs
    And the answers to the next 1 starts at worker-1 are lost
    When the job "a" of 1 steps with 1 tasks of 0 s is handed in at entry-1
    And 500 ms pass
    And worker-1's machine crashes and sends no heartbeats
    And 2 s pass
    And worker-1's machine sends heartbeats again
    Then the job "a" is "completed" within 10 s
    And no task ran twice at a time or after its end
    And 1 tasks were started in all

  Scenario: A start is refused because its run has just ended
    # A new attendant sends the start of a run again that it has seen there. The run ends
    # well first and the start is refused as old, before any look has shown the end: the
    # refusal counts as an end that was not good, and the task begins again.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1 starts anew just before its task ends, and one look goes unanswered
    And 3 s pass
    Then no task ran twice at a time or after its end
    And 1 tasks were started in all
