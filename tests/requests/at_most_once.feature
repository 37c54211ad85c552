Feature: A keyed request runs in one place, and a non-idempotent one at most once

  Scenario: The caller asks again at the other entry while the first attempt runs
    # A collector's tablet gets no answer in time and sends the same quote again;
    # the balancer gives it to the other entry. Without a claim that both entries
    # know, the second would send it to another instance: a doubled quote.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The same key reaches both entries at the same moment
    # Two copies of one quote arrive together. Each entry claims the key, meets
    # the other's claim, and one of them must give way for good.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies while the request runs
    # The entry dies, the balancer sends the caller's retry to the other one.
    # Where the request runs is in that entry's memory: it fetches the answer.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The first entry dies after its claim and before the request has left
    # The claim names a place that has never seen the request. The other entry
    # may not run it before the claimant is certainly gone and the place has
    # promised not to start a message that may still be under way.
    Given two entries and three instances in memory
    And the next message to each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And 20 ms pass
    And entry-1 is killed
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: Messages arrive after they were given up and the request refused
    # The network holds the messages back. The entry hears nothing, cancels the
    # id at one instance after the other and refuses the request as not run.
    # Then the messages arrive: they must not make the refusal a lie, nor keep
    # the caller's next attempt from running.
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
    # The request ran, and the connection broke before the answer came. The
    # entry asks for the answer by id over a new connection.
    Given two entries and three instances in memory
    And the next reply of each instance is lost
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The attendant dies while the request runs
    # Nobody can tell whether the upstream finished it. The caller hears that
    # the outcome is unknown, now and when it asks again; never "not run".
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And the attendant that runs "q1" is killed
    Then "first" hears that the outcome is unknown
    When "again" sends key "q1" to entry-2, which takes 500 ms to run
    Then "again" hears that the outcome is unknown
    And "q1" has run 1 time

  Scenario: The entries cannot reach each other
    # The link between the entries is cut, and the same quote comes to both. The
    # table decides between them.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "first" and "again" both get the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The table is down and the entries reach each other
    # An outage of the platform's store must not stop quote submissions.
    Given two entries and three instances in memory
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    When "again" sends key "q1" to entry-2, which takes 50 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: The table is down and the entries cannot reach each other
    # Neither entry can know whether the other has run the quote. It says so at
    # once and tells the caller when to come back; it runs nothing.
    Given two entries and three instances in memory
    And entry-1 and entry-2 cannot reach each other
    And the table is down
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" hears that the outcome is unknown, with a time to come back
    And "q1" has run 0 times

  Scenario: An entry is paused in mid-request and wakes after it was replaced
    # entry-1 freezes just after its claim. Its lease lapses, entry-2 takes the
    # request over. When entry-1 wakes, its message must not start a second run.
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
    # What ran is in nobody's memory any more. A key the new entry does not know
    # may have run, so it must not run it.
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
    # The region with both entries and an instance loses the table for long; an
    # entry started elsewhere finds their leases lapsed and joins alone. Callers
    # can reach both sides. Each side on its own would run the same quote.
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
    # Every instance drains. The refusal says "not run"; the claim is given up,
    # so that the same key runs once the caller asks again elsewhere.
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
    # Their first write of a lease fails and is tried again a second later; they
    # join at the next tenth. An entry that joined without its lease was taken for
    # one that is gone, and the other refused all new keys for over an hour.
    Given two entries and three instances that start before the table is up
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    And "second" sends key "q2" to entry-2, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "second" gets the whole answer of "q2"
