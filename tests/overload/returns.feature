Feature: Callers that were turned away come back while the backlog drains

  Scenario: All callers of a burst come back
    # Guards against returns that are the next burst, also where the entries assign them
    # independently of one another.
    Given 13 entries that know the same backlog, which drains in 20 s
    When 600 callers whose jobs take 200 ms of the drain are turned away within 2 s
    Then no caller is told to come back within 20 s
    And in any 10 s, callers come back with at most 12 s of work
    And all callers come back within 180 s

  Scenario: Long jobs are turned away by all entries at the same time
    # Guards against first returns in the same second at each entry.
    Given 13 entries that know the same backlog, which drains in 20 s
    When 13 callers whose jobs take 2000 ms of the drain are turned away by an entry each
    Then in any 3 s, callers come back with at most 8 s of work

  Scenario: A pool that has nearly stopped
    # Guards against callers that are told to come back in hours.
    Given 13 entries that know the same backlog, which drains in 20 s
    When 600 callers whose jobs take 60000 ms of the drain are turned away within 2 s
    Then all callers come back within 603 s
    And in any 10 s, callers come back with at most 1800 s of work

  Scenario: A caller comes back at its time
    # Guards against a queue that turns away the caller that it asked to come back.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives at a wait of 51 s
    And job "b" arrives 5 s later at a wait of 46 s
    And job "b" arrives at its return time at a wait of 45 s
    And job "c" arrives at a wait of 45 s
    Then the decisions are "reject, reject, accept, reject"

  Scenario: The pool works faster than predicted
    # Guards against a job that stays rejected although it can be of use again.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives at a wait of 52 s
    And job "a" arrives at its return time at a wait of 38 s
    Then the decisions are "reject, accept"

  Scenario: A job is of no use any more when its caller comes back
    # Guards against a wait that starts again with each attempt.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives at a wait of 60 s
    And job "a" arrives at its return time at a wait of 44 s
    And job "a" arrives at its return time at a wait of 43 s
    Then the decisions are "reject, reject, reject"
    And the job "a" was rejected as "too-late"

  Scenario: A caller comes back too early again and again
    # Guards against early returns that take up the drain that is meant for others.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives at a wait of 60 s
    And job "a" arrives 20 times within 2 s at a wait of 60 s
    Then the return time of "a" has not changed
    When job "b" arrives at a wait of 58 s
    Then the return time of "b" is at most 1 s after that of "a"

  Scenario: Very many callers are turned away
    # Guards against a memory that grows with the number of callers.
    Given 1 entries that know the same backlog, which drains in 20 s
    When 1001 callers whose jobs take 0 ms of the drain are turned away within 2 s
    Then only the first caller counts as new when it comes back
