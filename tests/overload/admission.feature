Feature: Jobs that can be of no use are rejected

  Scenario: A burst takes longer to drain than its jobs are of use
    # Guards against a backlog that grows without limit, and against the rejection of a
    # job that could be of use although its declared length says otherwise. The hysteresis
    # may reject a few: those ten times as long as declared, in the last tenth of their time.
    Given an entry for a queue with an objective of 1.5 times the length plus 300 ms
    When 900 jobs that take 0.1 to 10 times their declared length arrive within 10 s
    Then more than 100 are too late, of which none can be of use, and less than 2% of others
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
    When job "a" arrives 0 s later at a wait of 52 s
    And job "a" arrives 60 s later at a wait of 40 s
    And new jobs arrive at waits of 46 s
    Then the decisions are "reject, reject, accept"

  Scenario: An objective that does not grow with the length
    # Guards against taking the longest possible job for the one that is of use longest.
    Given an entry for a queue with an objective of 0 times the length plus 5000 ms
    When new jobs arrive at waits of 14, 15 s
    Then the decisions are "accept, reject"
