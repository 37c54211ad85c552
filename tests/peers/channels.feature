Feature: Calls over gRPC share a channel to each peer

  Scenario: A call connects a channel that another call has discarded
    # Guards against a process that ends because an unclosed connection is garbage
    # collected.
    Given a peer to which the first connection takes 1 s
    When a call with a timeout of 100 ms and one with 5 s are made at once
    Then the first call fails, and the second one is answered
    And the process keeps running, with no connection left open

  Scenario: A call to a peer whose process has ended
    # Guards against an ended process that cannot be told from a slow one.
    Given a peer whose process has ended
    When it is called
    Then the call fails because the connection was refused
