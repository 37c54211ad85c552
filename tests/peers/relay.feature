Feature: Requests to the table are relayed only while it cannot be reached

  Scenario: One part of the table has a queue
    # Guards against healthy requests that are relayed because another one timed out.
    Given a daemon that reads the table every 0.1 s
    When a write to it gets no response within 0.3 s
    Then none of its requests is relayed

  Scenario: The table rejects the daemon and most entries
    # Guards against a pause after the first entry that is rejected as well.
    Given a table that rejects a daemon and 2 of 3 entries
    When the daemon writes 10 times
    Then all of its writes are accepted
    And at most 2 of them were sent to an entry that is rejected

  Scenario: The table rejects all
    # Guards against many more requests to a table that is down.
    Given a table that rejects a daemon and 9 of 9 entries
    When the daemon writes 10 times
    Then none of its writes is accepted
    And at most 3 of them were sent to an entry that is rejected

  Scenario: The table does not respond at all
    # Guards against requests that are not relayed although the table is unreachable.
    Given a daemon that reads the table every 0.1 s
    When the table becomes unreachable
    And a write to it gets no response within 0.3 s
    Then 5 or more of its requests are relayed
