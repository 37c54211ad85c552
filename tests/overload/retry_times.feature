Feature: Callers that were turned away come back while the backlog drains

  Scenario Outline: All callers of a burst come back
    # Guards against returns that are the next burst, also where the entries assign them
    # independently of one another; against first returns in the same second at each entry;
    # and against callers that are told to come back in hours, from a pool that has stopped.
    Given 13 entries that know the same backlog, which drains in 20 s
    When <count> callers whose jobs take <ms> ms of the drain are turned away within <s> s
    Then callers come back within 20 to <last> s, in any <span> s with at most <work> s of work

    Examples:
      | count | ms    | s | last | span | work |
      | 600   | 200   | 2 | 180  | 10   | 12   |
      | 13    | 2000  | 0 | 50   | 3    | 8    |
      | 600   | 60000 | 2 | 623  | 10   | 1800 |

  Scenario: A caller comes back at its time
    # Guards against a queue that turns away the caller that it asked to come back.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives 0 s later at a wait of 51 s
    And job "b" arrives 5 s later at a wait of 46 s
    And job "b" arrives at its return time at a wait of 45 s
    And job "c" arrives 0 s later at a wait of 45 s
    Then the decisions are "reject, reject, accept, reject"

  Scenario: The pool works faster than predicted
    # Guards against a job that stays rejected although it can be of use again.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives 0 s later at a wait of 52 s
    And job "a" arrives at its return time at a wait of 38 s
    Then the decisions are "reject, accept"

  Scenario: A job is of no use any more when its caller comes back
    # Guards against a wait that starts again with each attempt.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives 0 s later at a wait of 60 s
    And job "a" arrives at its return time at a wait of 44 s
    And job "a" arrives at its return time at a wait of 43 s
    Then the decisions are "reject, reject, reject"

  Scenario: A caller comes back too early
    # Guards against early returns that take up the drain that is meant for others.
    Given an entry for a queue with an objective of 2 times the length plus 0 ms
    When job "a" arrives 0 s later at a wait of 60 s
    And job "a" arrives 3 s later at a wait of 60 s
    Then the return time of "a" has not changed

  Scenario: Very many callers are turned away
    # Guards against a memory that grows with the number of callers.
    Given 1 entries that know the same backlog, which drains in 20 s
    When 1001 callers whose jobs take 0 ms of the drain are turned away within 2 s
    Then only the first caller counts as new when it comes back
