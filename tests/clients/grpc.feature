Feature: Calls over gRPC outside the limits end no process

  Scenario: A call announces a huge message and sends it
    # Guards against receiving a message of any length that its prefix announces.
    Given an entry process with gRPC and 300 descriptors
    When 1 client calls over gRPC with a message of 200 MB
    Then a call over gRPC is answered, and the process is within 128 MB

  Scenario: Many calls announce large messages and do not end them
    # Guards against a limit of each message that is none for their sum.
    Given an entry process with gRPC and 300 descriptors
    When 40 clients call over gRPC with a message of 4 MB and withhold its last byte
    Then a call over gRPC is answered, and the process is within 128 MB

  Scenario: A call holds many times more names than any daemon
    # Guards against a message whose elements take many times their bytes.
    Given an entry process with gRPC and 300 descriptors
    When 1 client announces 1000000 kinds of requests over gRPC
    Then a call over gRPC is answered, and the process is within 128 MB

  Scenario: More connections are opened than there are descriptors
    # Guards against connections that send nothing and end the process at the next one.
    Given an entry process with gRPC and 300 descriptors
    When 500 clients connect at "entry/peers" and send nothing
    Then a call over gRPC is answered, and the process is within 128 MB
    And it has kept 30 descriptors free, and has written at most 64 KB
