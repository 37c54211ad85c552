Feature: Clients inside the limits are served, as large, slow and many as they may be

  Scenario Outline: A job is as large as any that is stored
    # Guards against a limit that a client inside it meets.
    Given an entry process with 300 descriptors
    When a job <kind> is submitted in pieces of <piece> bytes
    Then it is accepted

    Examples:
      | kind                                          | piece |
      | whose text has 4000 bytes in escapes          | 100   |
      | whose stored form is the largest, in escapes  | 5000  |
      | of 450 steps                                  | 65536 |

  Scenario: A job arrives in chunks over the slowest link
    # Guards against a limit of time that a slow client inside it meets.
    Given an entry process with 300 descriptors
    When a job whose stored form is the largest, in escapes is submitted at 2 Mbit/s in chunks
    Then it is accepted

  Scenario: Large jobs come together
    # Guards against a bound of the sum that clients inside it meet.
    Given an entry process with 300 descriptors
    When 40 jobs whose texts have 40000 bytes are submitted at once
    Then all are accepted, and nobody is turned away

  Scenario: A heartbeat is as large as any that is acknowledged
    # Guards against a limit that a worker inside it meets.
    Given an attendant process with 300 descriptors
    When a heartbeat of 4194304 bytes is sent
    Then it is accepted
