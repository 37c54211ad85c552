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

  Scenario: A release arrives after its entry has claimed the key again
    # Guards against a release that removes a later claim, of which the run is known.
    Given two entries and three instances in memory
    And every instance refuses requests as if it were draining
    And the next "Release" that entry-2 is sent is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When every instance accepts requests again
    And "again" sends key "q1" to entry-1, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    When 4000 ms pass
    And entry-1 is killed
    And "third" sends key "q1" to entry-2, which takes 50 ms to run
    Then "third" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: A proposal arrives after its entry has claimed the key again
    # Guards against a late proposal that replaces the claim under which the key ran.
    Given two entries and three instances in memory
    And every instance refuses requests as if it were draining
    And the next "Claim" that entry-2 is sent is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When one instance accepts requests, not named by the late proposal or the table
    And 1500 ms pass
    And "again" sends key "q1" to entry-1, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    When 4000 ms pass
    And every instance accepts requests again
    And entry-1 is killed
    And "third" sends key "q1" to entry-2, which takes 50 ms to run
    Then "third" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: A claimant leaves while another entry asks its place
    # Guards against a message started after its claim was superseded uncancelled.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And entry-1 is paused as soon as entry-2 has recorded its claim to "q1"
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    And 1000 ms pass
    And the place of "q1" answers only after entry-1 has left
    Then "again" gets the whole answer of "q1"
    When entry-1 resumes
    And 5000 ms pass
    Then "q1" has run 1 time

  Scenario: An entry's clock goes back between two claims of a key
    # Guards against a claim refused for its low number although the entry is alive.
    Given two entries and three instances in memory
    And every instance refuses requests as if it were draining
    And the next "Release" that entry-2 is sent is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When every instance accepts requests again
    And the time of day of entry-1 goes back by 60 s
    And "again" sends key "q1" to entry-1, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: A cancellation is renewed just before it would be forgotten
    # Guards against a cancellation forgotten by the age of an earlier attempt's.
    Given two entries and three instances in memory
    And the next message to each instance is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    When 54000 ms pass
    And the next message to each instance is late
    And "again" sends key "q1" to entry-1, which takes 50 ms to run
    Then "again" is told that it was not run, with a retry-after time
    When 12000 ms pass
    Then "q1" has run 0 times

  Scenario: A key is repeated at an entry that is cut off from its claimant
    # Guards against a claim in the table replaced by a later one of another entry.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When 1000 ms pass
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: An entry's message to join arrives after the entry has restarted
    # Guards against a member that is no longer asked, and does not know what ran.
    Given two entries and three instances in memory
    When entry-2 restarts within 8000 ms and has joined
    And entry-3 is started and has joined
    And the message with which entry-2 joined before arrives at entry-1 once more
    And 2000 ms pass
    And "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When entry-1 is killed
    And entry-3 is killed
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: An entry restarts with its clock set back
    # Guards against a member that is taken for its earlier incarnation.
    Given two entries and three instances in memory
    When entry-3 is started and has joined
    And the time of day of entry-2 goes back by 60 s
    And entry-2 restarts within 100 ms and has joined
    And 2000 ms pass
    Then each entry asks every other before it claims a key
