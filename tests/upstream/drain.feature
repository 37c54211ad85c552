Feature: Graceful shutdown

  Scenario: An upstream drains under load
    # Guards against requests that are cut off, or sent to a draining instance.
    Given two entries and three instances in memory
    When 9 callers send keys to both entries, which take 3000 ms to run
    And 100 ms pass
    And instance-01 is shut down gracefully
    And 2000 ms pass
    And the runs of instance-01 are recorded
    And 4 more callers send keys to both entries, which take 100 ms to run
    Then every caller gets the whole answer to its own key
    And instance-01 has started no run since
    And instance-01 no longer listens

  Scenario: An upstream drains while an entry gets no announcement of it
    # Guards against losing a request that a draining instance refuses.
    Given two entries and three instances in memory
    And entry-1 gets no announcements from instance-01
    When instance-01 is told to drain
    And the runs of instance-01 are recorded
    And 12 more callers send keys to both entries, which take 100 ms to run
    Then every caller gets the whole answer to its own key
    And instance-01 has started no run since

  Scenario: An entry drains
    # Guards against an entry that stops before its requests in flight have ended, or
    # whose claims are lost when it stops.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 2000 ms to run
    And 100 ms pass
    And entry-1 is shut down gracefully
    Then "first" gets the whole answer of "q1"
    When "again" sends key "q1" to entry-2, which takes 2000 ms to run
    Then "again" gets the whole answer of "q1"
    And "q1" has run 1 time
