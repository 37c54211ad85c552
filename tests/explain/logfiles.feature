Feature: A request can be explained from log files alone

  Scenario: Lines of two processes about one job
    # Guards against a truncated line in one file that hides the lines of the others.
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    And a log file "worker.log" with an earlier line about "aa" and a truncated line
    When the lines about "aa" are read from both files
    Then the events are "worker:started", "decision:submit", "decision:completed"

  Scenario: A collector has put the time and the process in front of each line
    # Guards against lines that are passed over as if no job had been accepted.
    Given a log file "all.log" of a collector with a line of "entry-1" about "aa"
    When the lines about "aa" are read from both files
    Then the line is one of "entry-1"

  Scenario: A file holds something else than log lines
    # Guards against an error that doesn't say what could not be read.
    Given a log file "other.log" that holds the text "not a log line"
    When the losses by this file are shown
    Then the command fails and names "1 that are not log lines" and "not a log line"

  Scenario: A job that is in no file
    Given a log file "entry.log" with lines about the jobs "aa" and "bb"
    When the lines about "cc" are read from both files
    Then there are no events

  Scenario: A process logs to a file
    # Guards against a file that is closed as soon as logging has started.
    When a process logs 3 lines to a file
    Then the file has 3 lines

  Scenario: A process cannot log to a file
    # Guards against a traceback in place of an error that names the field.
    When an entry is started with the log file "gone/entry.log"
    Then it exits with 2 and "log file: got 'gone/entry.log'"

  Scenario: A process is started with an unknown log level
    # Guards against a traceback in place of an error that names the field.
    When an entry is started with the log level "loud"
    Then it exits with 2 and "--log-level: got 'loud'"

  Scenario: A reader of log lines stops reading
    # Guards against a process that blocks because nothing reads its log lines.
    Given a pipe that nobody reads
    When 20000 log lines are written to it
    Then lines are dropped and no write blocks
    When the pipe is emptied and one more line is written
    Then the pipe contains the number of dropped lines
