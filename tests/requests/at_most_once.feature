Feature: A keyed request runs in one place, and a non-idempotent one at most once

  Scenario: The caller repeats the key at the other entry while the first attempt runs
    # Guards against a request run twice because two entries each send it.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The same key reaches both entries at the same moment
    # Guards against two entries that both hold a claim to one key.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies while the request runs
    # Guards against an answer lost with the entry that sent the request.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies after its claim and before its message arrives
    # Guards against a request run elsewhere while its message is in transit.
    Given two entries and three instances in memory
    And the next message to each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And 20 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: Messages arrive after the request was refused
    # Guards against a refusal as not run that a late message makes false.
    Given two entries and three instances in memory
    And the next message to each instance is late
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
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
    # Guards against 'not run' as the answer to a request that may have run.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And the attendant that runs "q1" is killed
    Then "first" is told that the outcome is unknown
    When "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" is told that the outcome is unknown
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
    # Guards against requests refused because of an outage of the table.
    Given two entries and three instances in memory
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The table is down and the entries cannot reach each other
    # Guards against a key run although neither a member nor the table has its claim.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that the outcome is unknown, with a retry-after time
    And "q1" has run 0 times

  Scenario: An entry is paused during a request and resumes after it was replaced
    # Guards against a message of a replaced entry that starts a second run.
    Given two entries and three instances in memory
    And the next message to each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And 20 ms pass
    And entry-1 is paused
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    When entry-1 resumes
    And 5000 ms pass
    Then "q1" has run 1 time

  Scenario: Both entries die, and the caller repeats the key at a new one
    # Guards against a key run again because the new entry does not know its claim.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When entry-1 is killed
    And entry-2 is killed
    And entry-3 is started and has joined
    And "again" sends key "q1" to entry-3, which takes 50 ms to run
    Then "again" is told that the outcome is unknown, with a retry-after time
    And "q1" has run 1 time

  Scenario: Two entries are cut off from the table, and a new one reaches it
    # Guards against a key run on both sides of a network partition.
    Given two entries and three instances in memory
    And entry-1, entry-2 and instance-01 are cut off from all other processes
    When 5000 ms pass
    And entry-3 is started and has joined
    And 90000 ms pass
    And "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-3, which takes 50 ms to run
    Then "first" is told that the outcome is unknown, with a retry-after time
    And "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: A key is refused as not run, and the caller repeats it at the other entry
    # Guards against a refusal that is false, or a claim that outlives the refusal.
    Given two entries and three instances in memory
    And every instance refuses requests as if it were draining
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" is told that it was not run, with a retry-after time
    And "q1" has run 0 times
    When every instance accepts requests again
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The entries start before the table is up
    # Guards against an entry that joins without a lease and is treated as lost.
    Given two entries and three instances that start before the table is up
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "second" sends key "q2" to entry-2, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "second" gets the whole answer of "q2"
