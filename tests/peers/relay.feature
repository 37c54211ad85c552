Feature: Requests to the table are relayed only while it cannot be reached

  Scenario: One part of the table has a queue
    # Guards against healthy requests that are relayed because another one timed out.
    Given a daemon that reads the table every 0.1 s
    When a write to it gets no response within 0.3 s
    Then none of its requests is relayed

  Scenario: The table does not respond at all
    # Guards against requests that are not relayed although the table is unreachable.
    Given a daemon that reads the table every 0.1 s
    When the table becomes unreachable
    And a write to it gets no response within 0.3 s
    Then 5 or more of its requests are relayed
