Feature: Runs on a worker whose attendant restarts

  Scenario: A service's attendant restarts while the scheduler is replaced
    # Guards against an attendant without the orders of its worker's runs, which slows no
    # filler beside a service over its target.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks far below its latency target is submitted at entry-1
    And the filler job "f" of 2 tasks of 60 s is submitted at entry-1
    And 4 s pass
    And every daemon is killed and restarted
    And 3 s pass
    And the services on worker-1 exceed their latency target
    And 4 s pass
    Then every filler of "f" runs at 0 percent

  Scenario: A task stalls on a worker whose attendant restarts with the scheduler
    # Guards against a run without an order, whose standstill nobody detects.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 20 s is submitted at entry-1
    And 2 s pass
    And every daemon is killed and restarted
    And 2 s pass
    And tasks on the worker of "a" make no progress
    Then the job "a" is "completed" within 40 s
    And no task ran twice at the same time or after its end

  Scenario: The attendant of a suspended filler restarts
    # Guards against a filler that keeps its former attendant's speed limit for good.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 2 tasks of 30 s is submitted at entry-1
    And 8 s pass
    Then every filler of "f" runs at 0 percent
    When the services on worker-1 are far below their latency target
    And worker-1 is killed and restarted after 1 s
    And 5 s pass
    Then every filler of "f" runs at 100 percent

  Scenario: A filler is slowed seconds after its speed was restored
    # Guards against a filler that keeps a speed limit which arrived late.
    Given two entries and 1 workers for jobs
    And the next 2 speed limits at worker-1 are applied late
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 2 tasks of 60 s is submitted at entry-1
    And 1 s pass
    And the services on worker-1 are far below their latency target
    And 8 s pass
    And 5 s pass
    Then every filler of "f" runs at 100 percent

  Scenario: Speed limits of suspended fillers are not answered
    # Guards against a filler that is stopped as stalled although it is suspended, since
    # its attendant takes an unknown speed for full.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 1 tasks of 10 s is submitted at entry-1
    And 4 s pass
    Then every filler of "f" runs at 0 percent
    When the next 20 speed limits at worker-1 are applied late
    And the services on worker-1 are far below their latency target
    And 6 s pass
    Then 2 tasks were started, each once
    And every filler of "f" runs at 100 percent

  Scenario: Speed limits of a restarted attendant are not answered
    # Guards against a filler that is stopped as stalled although a former attendant has
    # suspended it.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 1 tasks of 10 s is submitted at entry-1
    And 4 s pass
    Then every filler of "f" runs at 0 percent
    When the next 20 speed limits at worker-1 are applied late
    And worker-1 is killed and restarted after 1 s
    And 6 s pass
    Then 2 tasks were started, each once
