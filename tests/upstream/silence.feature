Feature: Connections that go silent for good while new ones work

  Scenario: A request is under way when every connection goes silent
    # Guards against a request run again because its answer came over a dead connection.
    Given two entries and three instances in memory
    When "first" sends key "q1" to entry-1, which takes 500 ms to run
    And 100 ms pass
    And every connection that entry-1 opened goes silent
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time

  Scenario: Attendants are found again after their connections went silent
    # Guards against announcements that hang on a dead connection.
    Given two entries and three instances in memory
    When every connection that instance opened goes silent
    And 4000 ms pass
    Then entry-1 and entry-2 know 3 instances
    When "first" sends key "q1" to entry-1, which takes 50 ms to run
    Then "first" gets the whole answer of "q1"
    And "q1" has run 1 time
