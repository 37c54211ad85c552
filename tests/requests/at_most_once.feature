Feature: A keyed request runs in one place, and a non-idempotent one at most once

  Scenario: The caller asks again at the other entry while the first attempt runs
    # Guards against a request run twice by way of two entries.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The same key reaches both entries at the same moment
    # Guards against two claims of one key that both stand.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies while the request runs
    # Guards against an answer lost with the entry that knew where it runs.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies after its claim and before the request has left
    # Guards against a request run elsewhere while its message is under way.
    Given two entries and three instances in memory
    And the next message to each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And 20 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: Messages arrive after they were given up and the request refused
    # Guards against late messages that make a refusal untrue.
    Given two entries and three instances in memory
    And the next message to each instance is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" hears that it was not run, with a time to come back
    When 12000 ms pass
    Then "q1" has run 0 times
    When "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The attendant's answer is lost
    # Guards against an answer lost with its connection.
    Given two entries and three instances in memory
    And the next reply of each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The attendant dies while the request runs
    # Guards against 'not run' said of a request that may have run.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And the attendant that runs "q1" is killed
    Then "first" hears that the outcome is unknown
    When "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" hears that the outcome is unknown
    And "q1" has run 1 time

  Scenario: The entries cannot reach each other
    # Guards against a key run twice by entries that are cut off from each other.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The table is down and the entries reach each other
    # Guards against requests refused for an outage of the table.
    Given two entries and three instances in memory
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The table is down and the entries cannot reach each other
    # Guards against a key run where nobody can know whether another has run it.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" hears that the outcome is unknown, with a time to come back
    And "q1" has run 0 times

  Scenario: An entry is paused in mid-request and wakes after it was replaced
    # Guards against a message of a replaced entry that starts a second run.
    Given two entries and three instances in memory
    And the next message to each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And 20 ms pass
    And entry-1 is paused
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    When entry-1 wakes
    And 5000 ms pass
    Then "q1" has run 1 time

  Scenario: Both entries die, and the caller asks the new ones
    # Guards against a key run again that new entries do not know.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When entry-1 is killed
    And entry-2 is killed
    And entry-3 is started and has joined
    And "again" sends key "q1" to entry-3, which takes 50 ms to run
    Then "again" hears that the outcome is unknown, with a time to come back
    And "q1" has run 1 time

  Scenario: Entries cut off from the table, and a new one that has it
    # Guards against a key run on both sides of a cut.
    Given two entries and three instances in memory
    And entry-1, entry-2 and instance-01 are cut off from all else
    When 5000 ms pass
    And entry-3 is started and has joined
    And 90000 ms pass
    And "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-3, which takes 50 ms to run
    Then "first" hears that the outcome is unknown, with a time to come back
    And "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: A refusal is true, and the caller may then ask anywhere
    # Guards against a refused key that is kept from running elsewhere.
    Given two entries and three instances in memory
    And every instance refuses as if it drained
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" hears that it was not run, with a time to come back
    And "q1" has run 0 times
    When every instance takes work again
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The entries start before the table is up
    # Guards against an entry that joins without its lease and is taken for gone.
    Given two entries and three instances that start before the table is up
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "second" sends key "q2" to entry-2, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "second" gets the whole answer of "q2"
