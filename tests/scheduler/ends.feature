Feature: How a run ended counts, also where its start is asked for again

  Scenario: A run fails while its start is asked for again, and a look is lost
    # Guards against a failure that isn't counted, and an attempt too many.
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
    # Guards against a refused start taken for a stop, and a task begun after its end.
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
    # Guards against ends beyond the 500 listed that are taken for runs never there.
    Given two entries and 1 workers for jobs
    When the job "a" of 520 small tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1 is killed and started anew after 4 s
    Then the job "a" is "completed" within 15 s
    And 520 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: More runs ended than a look lists, and none is acknowledged for a while
    # Guards against the same, while the store is down and the same ends come again.
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
    # Guards against the same, where refusals were lost and runs are stopped first.
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
    # Guards against a refusal by an unhealthy worker that hides an end.
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
    # Guards against starts refused for draining of runs that are at work.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 4 s is handed in at entry-1
    And 1 s pass
    And worker-1's machine drains
    And worker-1 is killed and started anew after 1 s
    Then the job "a" is "completed" within 15 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: A start that is slow on its way is overtaken by the next scheduler's
    # Guards against a start shut out by a newer session taken for its task's end.
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
    # Guards against a cancelled task whose stop is passed over in the next session.
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
    # Guards against a start asked for again after its run was stored as done.
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
    # Guards against an end, not shown yet, that a refusal stands in for.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 3 s is handed in at entry-1
    And 1 s pass
    And worker-1 starts anew just before its task ends, and one look goes unanswered
    And 3 s pass
    Then no task ran twice at a time or after its end
    And 1 tasks were started in all
