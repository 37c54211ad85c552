Feature: Clients outside the limits end no process at any of its ports

  Scenario Outline: Large bodies are announced and not ended at an entry
    # Guards against a limit at one port that leaves the others.
    Given an entry process with 300 descriptors
    When 60 clients announce a body of 8 MB at "<port>" and withhold its last byte
    Then a request at "<port>" is answered, and the process is within 160 MB
    And a request at "callers" is answered, and the process is within 160 MB

    Examples:
      | port      |
      | readiness |
      | metrics   |
      | peers     |

  Scenario Outline: Large bodies are announced and not ended at an attendant
    # Guards against a limit at one port that leaves the others.
    Given an attendant process with 300 descriptors
    When 60 clients announce a body of 8 MB at "<port>" and withhold its last byte
    Then a request at "<port>" is answered, and the process is within 128 MB

    Examples:
      | port       |
      | heartbeats |
      | peers      |
      | metrics    |

  Scenario: A call of a peer holds more steps than any job
    # Guards against building what a byte each stands for before it is counted.
    Given an entry process with 300 descriptors
    When 1 client tells at "peers" of a job of 2000000 empty steps
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Workers that nobody knows report runs that nobody ordered
    # Guards against keeping, for good, whatever is reported.
    Given an entry process with 300 descriptors
    When 20 workers that nobody knows report 30000 runs each at "peers"
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: A call of a peer holds more runs than any worker
    # Guards against a message whose elements take many times their bytes.
    Given an entry process with 300 descriptors
    When 1 client reports 1000000 runs at "peers"
    Then a request at "callers" is answered, and the process is within 160 MB
