Feature: A whole run of the runner

  Scenario: The verdicts do not depend on the number of processes
    # Guards against scenarios that see what their neighbours left in the process.
    Given a suite whose scenarios each count a run in the same module
    When it runs in 1 slots and in 4 slots
    Then both totals are "4 passed, 0 failed"
    And both name the same failures

  Scenario: Scenarios fail, die and lack a step
    # Guards against a kind of failure that the total leaves out.
    Given a suite with a scenario that fails, one that exits and one without its step
    When it runs in 1 slots and in 4 slots
    Then both totals are "1 passed, 3 failed"
    And both name the same failures

  Scenario: A hook fails
    # Guards against a scenario that passes although what it started did not end.
    Given a suite whose hook after each scenario raises
    When it runs in 1 slots and in 4 slots
    Then both totals are "0 passed, 1 failed"

  Scenario: A step file is broken
    # Guards against a run that selects nothing and passes.
    Given a suite with a step file that cannot be read
    When it runs in 1 slots and in 4 slots
    Then both totals are "0 passed, 1 failed"

  Scenario: A part runs
    # Guards against a selected part that runs more or less than was asked for.
    Given a suite whose scenarios each count a run in the same module
    When its scenario on line 3 runs
    Then the total is "1 passed, 0 failed"

  Scenario: A command fails beside scenarios that pass
    # Guards against a check whose failure the scenarios hide.
    Given a suite whose scenarios each count a run in the same module
    When it runs beside the command "echo told; exit 3"
    Then the total is "4 passed, 1 failed"
    And its output has "told" and "failed command: echo told; exit 3"

  Scenario: A command runs with a hash seed of its own
    # Guards against a soak that only ever plays the order of one hash seed.
    Given a suite whose scenarios each count a run in the same module
    When it runs beside the command "echo seed ${PYTHONHASHSEED-none}"
    Then the total is "4 passed, 0 failed"
    And its output has "seed none" and "status 0"
