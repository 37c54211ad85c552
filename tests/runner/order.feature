Feature: The order in which jobs start

  Scenario: The longest start first
    # Guards against one long scenario that starts last and runs alone.
    Given the scenarios "a", "b", "c" and "d", and "new" in a fuzz.feature
    And a command and "programs" that takes 2 slots
    When they are ordered with "d" and "b" as the longest
    Then the order is "programs", the command, "d", "b", "new", "a", "c"

  Scenario: The list of the longest names scenarios that exist
    # Guards against an order that no longer fits the suite.
    Then each name on the list of the longest is a scenario's
