Feature: A request can be explained from log files alone

  Scenario: Lines of two processes about one job
    # Every process is gone and only their log files are left, one of them cut off
    # in the middle of a line. The lines that name the job come in the order of time.
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    And a log file "worker.log" with an earlier line about "aa" and half a line
    When "aa" is looked for in both
    Then the events are "worker:started", "decision:submit", "decision:completed"

  Scenario: A job that no file names
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    When "cc" is looked for in both
    Then there are no events

  Scenario: A reader that stops reading
    # Nobody empties the pipe. The process must not wait for it: lines are dropped,
    # and how many is said once there is room again.
    Given a pipe that nobody reads
    When 20000 log lines are written to it
    Then lines were dropped and nothing waited
    When the pipe is emptied and one more line is written
    Then the number of dropped lines is in the pipe
