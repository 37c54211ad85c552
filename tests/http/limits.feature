Feature: The HTTP server takes requests within the limits of its port

  Scenario Outline: A request is beyond a limit
    # Guards against handling, or keeping, what is refused, and what follows it.
    Given a port that takes bodies of 1000 bytes and heads of 2000 bytes and 20 lines
    When a client sends <request>, and an ordinary request behind it
    Then it is answered <status>, the connection ends, and no handler has seen any

    Examples:
      | request                                   | status |
      | the head of a body of 1001 bytes          | 413    |
      | the head of a body of 4000000000 bytes    | 413    |
      | a body of 1001 bytes in chunks            | 413    |
      | a head of 3000 bytes                      | 431    |
      | a head of 30 lines                        | 431    |
      | a head that is no HTTP                    | 400    |

  Scenario Outline: A request is within the limits
    # Guards against a limit that refuses what is exactly as large as it allows.
    Given a port that takes bodies of 1000 bytes and heads of 2000 bytes and 20 lines
    When a client sends <request>, and an ordinary request behind it
    Then both are answered 200

    Examples:
      | request                        |
      | a body of 1000 bytes           |
      | a body of 1000 bytes in chunks |
      | a body in chunks of one byte   |
      | a head of 18 lines             |

  Scenario: More clients connect than may
    # Guards against clients that send nothing and keep the others out.
    Given a port that takes 5 connections
    When 8 clients connect, and the last one sends a request
    Then it is answered, and 3 of the others are closed

  Scenario: All connections are at work
    # Guards against closing a connection whose request is being handled.
    Given a port that takes 5 connections
    When 5 clients wait for an answer, and another one connects
    Then it is closed, and the 5 are answered

  Scenario: More requests come than may be handled
    # Guards against handlers that take all that the process needs for itself.
    Given a port that handles 5 requests at a time
    When 6 clients send a request each
    Then one is told to come back, and the others are answered
