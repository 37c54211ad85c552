Feature: The HTTP client finds out about connections that carry nothing more

  Scenario Outline: All idle connections to a peer become silent
    # Guards against one timeout for each connection that a burst has left behind.
    Given a peer to which a burst has left <count> idle connections
    When they become silent, and requests follow each other until one is answered
    Then 1 request has timed out

    Examples:
      | count |
      | 1     |
      | 12    |
      | 32    |

  Scenario: Callers give up before their requests time out
    # Guards against silent connections that are never suspected, since no caller waits
    # long enough.
    Given a peer to which a burst has left 12 idle connections
    When they become silent, and callers who wait for 300 ms follow each other
    Then 1 request has timed out

  Scenario: A request is not answered while others are
    # Guards against closing connections that have carried answers in the meantime.
    Given a peer to which a burst has left 12 idle connections
    When one request is left unanswered while 11 at a time are answered
    Then 11 requests at a time open no connection

  Scenario: Connections have not been used for long
    # Guards against keeping what a burst has left for good.
    Given idle connections that carried something 10.5 s, 9.9 s and 0.1 s ago
    When connections are taken from the pool until it is empty
    Then those of 0.1 s and 9.9 s ago were taken, and the third one is closed
