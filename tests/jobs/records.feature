Feature: Each failed run of a task counts once

  Scenario: Failures are counted in any order, also when they are repeated
    # Guards against a failure that is dropped since a later run's was counted before.
    Then each failed run counts once, in whatever order the ends arrive

  Scenario: A record of an earlier version is continued
    # Guards against a failure that is counted again after an upgrade.
    Given a task record of an earlier version with 1 failures, the last of run 2
    When the failures of the runs 1, 2 and 3 are counted
    Then the task record has 2 failures
