Feature: Logs alone tell where jobs' time went

  Scenario: A job waits for room
    # The job is submitted while the only worker is full.
    Given two entries and 1 workers for jobs, whose lines are kept
    When the job "a" of 1 steps with 8 tasks of 5 s is submitted at entry-1
    And 1 s pass
    And the job "b" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    Then the job "b" is "completed" within 10 s
    And by the lines the job "b" lost 3 to 5 s to "room", and ran 1 s
    And the parts of every job add up to its time

  Scenario: Nobody schedules for a while
    Given two entries and 1 workers for jobs, whose lines are kept
    When the scheduler dies just before the job "a" of 1 task of 1 s is submitted
    Then the job "a" is "completed" within 10 s
    And by the lines the job "a" lost 1 to 3 s to "scheduler", and ran 1 s
    And the parts of every job add up to its time

  Scenario: A task fails and is run again
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When the time of jobs is told from them
    Then the job "aa" spent 2.0 s on "failed", 1.5 s on "running" and 1.5 s on "slowed"
    And the parts of every job add up to its time

  Scenario: A service is stopped and goes on elsewhere
    # What it served before is no loss.
    Given log lines of a service that was stopped after 4 s and started again 1 s later
    When the time of jobs is told from them
    Then the job "aa" spent 6.0 s on "running", 0.5 s on "scheduler" and 0.5 s on "start"
    And the parts of every job add up to its time

  Scenario: Lines are missing
    # What they would have told is not counted as anything else.
    Given log lines of a job without those of its worker
    When the time of jobs is told from them
    Then the job "aa" spent 5.0 s on "unknown"
    And the parts of every job add up to its time

  Scenario: The command tells what it skipped and what no line tells
    Given log lines of a job without those of its worker
    And half a line behind them
    When "losses" is called with their file
    Then it prints "4 lines, 1 skipped, 0 dropped"
    And it prints "not told by these logs: 100.0% of the time"
    And it prints "are files missing?"

  Scenario: The command is given a file that is not there
    When "losses" is called with the file "gone.log"
    Then it fails with "--logs: got 'gone.log', expected a log file"

  Scenario: The command prints for machines
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When "losses" is called with their file and "--json"
    Then its object says that the job "aa" spent 2.0 s on "failed"

  Scenario: The command draws what it tells
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When "losses" is called with their file and a picture to draw
    Then the picture names the queue "q" and the parts "failed" and "slowed"
