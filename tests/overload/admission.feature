Feature: Jobs that can be of no use are rejected

  Scenario: A burst takes longer to drain than its jobs are of use
    # Guards against a backlog that grows without limit, and against the rejection of a
    # job that could be of use although its declared length says otherwise.
    Given an entry for a queue with an objective of 1.5 times the length plus 300 ms
    When 900 jobs that take 0.1 to 10 times their declared length arrive within 10 s
    Then more than 100 jobs were rejected as too late, of which none could have been of use
    # Those that the hysteresis rejects end within the last tenth of the time in which a
    # job ten times as long as declared is of use. Few are as long as that.
    And of all that were rejected, less than 2% could have been of use
    And no job was accepted at a wait of more than 36 s

  Scenario: The wait varies around the limit
    # Guards against a queue that accepts and rejects in turns with each new backlog.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When new jobs arrive at waits of 49, 51, 48, 51, 48, 45, 44, 48 s
    Then the decisions are "accept, reject, reject, reject, reject, reject, accept, accept"

  Scenario: A job with more work than others is rejected
    # Guards against a queue that rejects until it is empty after a job that is of no use
    # however short the wait is.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When a job with 100000 processor-seconds of work arrives at a wait of 1 s
    And new jobs arrive at waits of 46, 0, 46 s
    Then the decisions are "reject, accept, accept, accept"

  Scenario: A job declares ten times the work that it has
    # Guards against the rejection of a job for work that it may not have.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When a job with 8000 processor-seconds of work arrives at a wait of 45 s
    Then the decisions are "accept"

  Scenario: A caller comes back very late
    # Guards against a queue that rejects because of the time that one caller let pass.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives at a wait of 52 s
    And job "a" arrives 60 s later at a wait of 40 s
    And new jobs arrive at waits of 46 s
    Then the decisions are "reject, reject, accept"

  Scenario: An objective that does not grow with the length
    # Guards against taking the longest possible job for the one that is of use longest.
    Given an entry for a queue with an objective of 0 times the length plus 5000 ms
    When new jobs arrive at waits of 14, 15 s
    Then the decisions are "accept, reject"

  Scenario: An old backlog
    # Guards against a wait that ended while the backlog was under way.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    Then a job is accepted at a wait of 52 s that was predicted 2 s ago

  Scenario Outline: Nothing predicts that a job is of no use
    # Guards against a rejection without a reason.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    Then a job is accepted if <case>

    Examples:
      | case                                |
      | the backlog is unknown              |
      | the queue is not in the backlog     |
      | the job is exempt                   |
      | the queue has no objective          |
