Feature: The HTTP server closes connections of clients that have become silent

  Scenario: A client is silent between two requests
    # Guards against descriptors and tasks kept for good for silent clients.
    Given a server that closes connections after 300 ms without progress
    When a client sends a request, and nothing more
    Then the server closes the connection

  Scenario: A client is silent within a request
    # Guards against waiting for the rest of a request without limit.
    Given a server that closes connections after 300 ms without progress
    When a client sends half a request, and nothing more
    Then the server closes the connection

  Scenario: A client does not receive a response
    # Guards against a drain that waits for a response which can never leave.
    Given a server that closes connections after 300 ms without progress
    When a client requests 8 MB and receives none of it
    Then the server stops within 3 s
