Feature: A request can be explained from log files alone

  Scenario: Lines of two processes about one job
    # Guards against a file cut off in the middle of a line that hides what others tell.
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    And a log file "worker.log" with an earlier line about "aa" and half a line
    When "aa" is looked for in both
    Then the events are "worker:started", "decision:submit", "decision:completed"

  Scenario: A job that no file names
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    When "cc" is looked for in both
    Then there are no events

  Scenario: A reader that stops reading
    # Guards against a process that waits for whoever reads its lines.
    Given a pipe that nobody reads
    When 20000 log lines are written to it
    Then lines were dropped and nothing waited
    When the pipe is emptied and one more line is written
    Then the number of dropped lines is in the pipe
