Feature: Connections that stop transmitting permanently while new ones work

  Scenario: A request is in flight when every connection stops transmitting
    # Guards against running a request again because its connection lost the answer.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And every connection that entry-1 opened stops transmitting
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: Attendants are known again after their connections stopped transmitting
    # Guards against announcements that hang on a connection that no longer transmits.
    Given two entries and three instances in memory
    When every connection that instance opened stops transmitting
    And 4000 ms pass
    Then entry-1 and entry-2 know 3 instances
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time
