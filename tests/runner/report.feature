Feature: The total of a run

  Scenario: All pass
    # Guards against a status that contradicts the total.
    Given the results "a" passed and "b" passed
    Then the last line is "2 passed, 0 failed" and the status is 0

  Scenario: One fails
    # Guards against a failure without a name.
    Given the results "a" passed and "b" failed
    Then the last line is "1 passed, 1 failed" and the status is 1
    And a line is "failed: b"

  Scenario: The process of one dies
    # Guards against a process that ends early being left out of the total.
    Given the results "a" passed and "b" died
    Then the last line is "1 passed, 1 failed" and the status is 1
    And a line is "failed: b"

  Scenario: A scenario that is known to fail fails
    # Guards against a known failure that fails CI or is not printed.
    Given the results "a" passed and "b" failed
    And "b" is listed as known red
    Then the last line is "1 passed, 0 failed" and the status is 0
    And a line is "known red: b | cause | issue"

  Scenario: A scenario that is known to fail passes
    # Guards against a list that grows stale.
    Given the results "a" passed and "b" passed
    And "b" is listed as known red
    Then the last line is "1 passed, 1 failed" and the status is 1
    And a line is "listed as known red, but passes; remove it from the list: b"

  Scenario: A name that is listed as known red is no scenario's
    # Guards against an entry that stays after its scenario was renamed.
    Given the results "a" passed and "b" passed
    And "z" is listed as known red
    Then the last line is "2 passed, 1 failed" and the status is 1
    And a line is "listed as known red, but no scenario: z"

  Scenario: A command beside the scenarios fails
    # Guards against lint that fails unseen behind scenarios that pass.
    Given the results "a" passed and "b" passed
    And the command "make lint" failed
    Then the last line is "2 passed, 1 failed" and the status is 1
    And a line is "failed command: make lint"

  Scenario: Only a command ran
    # Guards against a run without a scenario that counts as good.
    Given the command "make lint" passed
    Then the last line is "0 passed, 0 failed" and the status is 1

  Scenario: A scenario is not selected
    # Guards against a scenario that did not run being counted as passed.
    Given the results "a" passed and "b" skipped
    Then the last line is "1 passed, 0 failed" and the status is 0
