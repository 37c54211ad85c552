Feature: Calls over gRPC share a channel to each peer

  Scenario: A call connects a channel that another call has given up
    # Guards against a process that ends because a connection nobody keeps is collected.
    Given a peer to which the first connection takes 1 s
    When a call that waits 100 ms and one that waits 5 s are made at once
    Then the first call fails, and the second one is answered
    And the caller runs on, with no connection left open
