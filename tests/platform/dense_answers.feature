Feature: Answers of workers that hold more than any worker has to tell

  Scenario Outline: A worker answers with more rows than it has runs
    # Guards against an attendant that ends since each byte takes many once decoded.
    Given a worker that answers a poll with <answer>
    When its attendant polls it
    Then the poll fails, and has taken less than 16 MB

    Examples:
      | answer                         |
      | 1300000 empty rows             |
      | a row of 800000 texts in lists |

  Scenario: A heartbeat holds more labels than any worker
    # Guards against building labels that are then found to be too many.
    When a heartbeat with 800000 labels is read
    Then it is refused, and has taken less than 16 MB

  Scenario: A worker answers with many runs
    # Guards against a bound that a worker inside the pages meets.
    Given a worker that answers a poll with 5000 runs
    When its attendant polls it
    Then it has 5000 runs
