Feature: Clients that stay keep nobody out

  Scenario Outline: More connections are opened than there are descriptors
    # Guards against connections that send nothing and take every descriptor.
    Given an entry process with 300 descriptors
    When 500 clients connect at "<port>" and send nothing
    Then a request at "callers" is answered, and the process is within 160 MB
    And a request at "readiness" is answered, and the process is within 160 MB
    And it has kept 30 descriptors free, and has written at most 64 KB

    Examples:
      | port      |
      | callers   |
      | peers     |
      | readiness |

  Scenario: More connections are opened to an attendant than there are descriptors
    # Guards against connections that send nothing and take every descriptor.
    Given an attendant process with 300 descriptors
    When 500 clients connect at "heartbeats" and send nothing
    Then a request at "heartbeats" is answered, and the process is within 128 MB
    And it has kept 30 descriptors free, and has written at most 64 KB

  Scenario: Clients begin a request and send no more
    # Guards against heads that are kept for those who never end them.
    Given an entry process with 300 descriptors
    When 500 clients send half a head of 15000 bytes at "callers"
    Then a request at "callers" is answered, and the process is within 160 MB
    And it has kept 30 descriptors free, and has written at most 64 KB
