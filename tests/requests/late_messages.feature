Feature: What one attempt of a key proved says nothing about another

  Scenario: Messages of a second attempt arrive after it was refused
    # Guards against a refusal proved only by the cancellation of an earlier attempt.
    Given two entries and three instances in memory
    And the next message to each instance is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When 12000 ms pass
    And the next message to each instance is late
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" is told that it was not run, with a retry-after time
    When 12000 ms pass
    Then "q1" has run 0 times

  Scenario: A cancelled message arrives after a later attempt was refused
    # Guards against a cancellation forgotten with the refusal of a later attempt.
    Given two entries and three instances in memory
    And the next message to each instance is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When every instance refuses requests as if it were draining
    And "again" sends key "q1" to entry-1, which takes 50 ms to run
    Then "again" is told that it was not run, with a retry-after time
    When every instance accepts requests again
    And 12000 ms pass
    Then "q1" has run 0 times
