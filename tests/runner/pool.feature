Feature: Jobs in processes of their own

  Scenario: A process ends without a verdict
    # Guards against a scenario whose process died being taken for one that passed.
    Given the job "dies" whose process exits with status 0
    And the job "killed" whose process is killed
    And the job "sound" that passes
    When the jobs run in 2 slots
    Then "dies" died: "its process exited with 0 without a verdict"
    And "killed" died: "its process was ended by signal 9"
    And "sound" is passed

  Scenario: A process hangs
    # Guards against a run that never ends, and against programs left behind.
    Given the job "hangs" that starts a program and sleeps, with a limit of 3 s
    And the job "sound" that passes
    When the jobs run in 1 slots
    Then "hangs" died: "ended after its time limit of 3.0 s"
    And "sound" is passed
    And the program that "hangs" started has ended

  Scenario: A job leaves a program behind
    # Guards against real programs that go on beside the scenarios after them.
    Given the job "leaves" that starts a program and passes
    When the jobs run in 1 slots
    Then "leaves" is passed
    And the program that "leaves" started has ended

  Scenario: A job raises
    # Guards against an error outside of behave that nobody sees.
    Given the job "raises" that raises
    When the jobs run in 1 slots
    Then "raises" is failed
    And the output of "raises" contains "RuntimeError: broken"

  Scenario: Jobs print at the same time
    # Guards against the output of one scenario in the midst of another's.
    Given 4 jobs that print their names in turns
    When the jobs run in 4 slots
    Then each job's output has its own name only

  Scenario: A job that takes more slots runs beside fewer others
    # Guards against real programs that wait for processors.
    Given the job "programs" that takes 2 slots
    And 4 jobs that take 1 slot
    When the jobs run in 3 slots
    Then at most 3 slots were taken at a time

  Scenario: A job takes more slots than there are
    # Guards against a job that waits for slots forever on a small machine.
    Given the job "programs" that takes 2 slots
    And 2 jobs that take 1 slot
    When the jobs run in 1 slots
    Then "programs" is passed
    And at most 2 slots were taken at a time
