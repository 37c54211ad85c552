Feature: An accepted edit is in force everywhere within seconds and never reverts

  Scenario: Two operators race
    # Guards against an edit that overwrites another unnoticed.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 128, having read version 2
    And "ben" sets the processors of "surveys" to 256, having read version 2
    Then "ann" receives lists version 3
    And "ben" is refused the edit because "ann" edited first
    And within 3 s every daemon has version 3 with 128 processors

  Scenario: The answer to the write is lost
    # Guards against an edit applied twice, or whose operator never learns the outcome.
    Given two entries and 1 workers in memory
    And the answer to each of the next 1 writes is lost
    When "ann" sets the processors of "surveys" to 128, having read version 2
    Then "ann" receives lists version 3
    And the history holds 1 edit by "ann"

  Scenario: The operator sends the same edit again
    # Guards against an edit that is applied twice when sent again with its token.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 128, having read version 2
    And "ann" sends the same edit again to entry-2
    Then "ann" receives lists version 3
    And the history holds 1 edit by "ann"

  Scenario: The table goes down right after the edit was accepted
    # Guards against an accepted edit that reaches daemons only by polling the table.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 128, having read version 2
    And the table goes down
    Then within 3 s every daemon has version 3 with 128 processors

  Scenario: The entry that accepted the edit dies at once
    # Guards against an accepted edit that only the accepting entry knows.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 128, having read version 2
    And entry-1 is killed
    Then within 3 s every daemon has version 3 with 128 processors

  Scenario: An old push arrives late
    # Guards against an older version that replaces a newer one.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 128, having read version 2
    And "ann" sets the processors of "surveys" to 256, having read version 3
    And within 3 s every daemon has version 4 with 256 processors
    And version 3 is pushed to every daemon again
    Then within 3 s every daemon has version 4 with 256 processors

  Scenario: A new entry starts while the table is down
    # Guards against an entry that accepts callers without lists.
    Given two entries and 1 workers in memory
    And the table is down
    When entry-3 is started with entry-1 as its seed
    Then entry-3 has version 2 in force, and is not healthy

  Scenario: An edit changes the next decision
    # Guards against decisions based on the lists before an edit.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to 2, having read version 2
    And within 3 s every daemon has version 3 with 2 processors
    And "arolwg" submits the task "b1" of 4 processors
    Then it is refused with status 403

  Scenario: A malformed edit
    # Guards against bad input that is applied, or refused without naming its field.
    Given two entries and 1 workers in memory
    When "ann" sets the processors of "surveys" to -1, having read version 2
    Then "ann" is refused the edit with "processors: got -1"
    And within 3 s every daemon has version 2 with 64 processors

  Scenario: No order of faults loses, doubles or reverts an edit
    # Operators race, answers are lost, the table goes down, tools send again.
    Then the machine "list edits" finds nothing in 100 runs of 40 steps

  Scenario: The oracle sees an edit that overwrites another
    # Planted: the editor writes without the condition on the version.
    Then with the planted fault "edits without versions" the machine "list edits" fails
