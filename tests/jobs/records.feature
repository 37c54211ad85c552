Feature: Each failed run of a task counts once

  Scenario: Failures are counted in any order, also when they are repeated
    # Guards against a failure that is dropped since a later run's was counted before.
    Then each failed run counts once, in whatever order the ends arrive

  Scenario: A record of an earlier version is continued
    # Guards against a failure that is counted again after an upgrade.
    Given a task record of an earlier version with 1 failures, the last of run 2
    When the failures of the runs 1, 2 and 3 are counted
    Then the task record has 2 failures

  Scenario Outline: A record is stored in rows that are not too large
    # Guards against a record over 64 KiB, which the store refuses for ever.
    Given a record of <tasks> tasks with random checkpoints
    When the record is encoded
    Then it has <rows> rows of at most 65536 bytes in base64
    And it is the same once it is decoded

    Examples:
      | tasks | rows |
      | 1     | 1    |
      | 2000  | 1    |
      | 5000  | 3    |

  Scenario: A row of a record is missing
    # Guards against a job that is taken for one that has not started.
    Given a record of 5000 tasks with random checkpoints
    When the record is encoded
    Then it cannot be decoded without its last row
    And an entry of an earlier version cannot read its first row

  Scenario: The record of the largest job fits into one transaction
    # Guards against a job that is accepted and can never be stored.
    Given a record of the largest job, all of whose tasks run and have failed before
    When the record is encoded
    Then its rows take at most 98 entries and 700000 bytes of a transaction
