Feature: Log files show what jobs spent their time on

  Scenario: A job waits for room
    # The job is submitted while the only worker has no room.
    Given two entries and 1 workers for jobs, whose log lines are recorded
    When the job "a" of 1 steps with 8 tasks of 5 s is submitted at entry-1
    And 1 s pass
    And the job "b" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    Then the job "b" is "completed" within 10 s
    And by the log lines the job "b" lost 3 to 5 s to "room" and ran for 1 s
    And the parts of each job add up to its total time

  Scenario: A job waits for the health of workers
    # Guards against time that a job waits for a blocked worker and no part accounts for.
    Given two entries and 1 workers for jobs, whose log lines are recorded
    And worker-1's VM fails everything it starts
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And the job "b" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    And 500 ms pass
    And worker-1's VM fails nothing any more
    And the job "c" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    Then the job "c" is "completed" within 10 s
    And by the log lines the job "c" lost 1 to 5 s to "health" and ran for 1 s
    And the parts of each job add up to its total time

  Scenario: No scheduler is active for a while
    Given two entries and 1 workers for jobs, whose log lines are recorded
    When the scheduler freezes just before the job "a" of 1 task of 1 s is submitted
    Then the job "a" is "completed" within 10 s
    And by the log lines the job "a" lost 1 to 3 s to "scheduler" and ran for 1 s
    And the parts of each job add up to its total time

  Scenario: No scheduler is active until one that has ended is replaced
    # Guards against a short wait for a scheduler that is not told.
    Given two entries and 1 workers for jobs, whose log lines are recorded
    When the scheduler is killed just before the job "a" of 1 task of 1 s is submitted
    Then the job "a" is "completed" within 10 s
    And by the log lines the job "a" lost 0.1 to 1 s to "scheduler" and ran for 1 s
    And the parts of each job add up to its total time

  Scenario: A task fails and is run again
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When the time of jobs is computed from these lines
    Then the job "aa" spent 2.0 s on "failed", 1.5 s on "running" and 1.5 s on "slowed"
    And the parts of each job add up to its total time

  Scenario: A service is stopped and started again
    # Guards against counting the time that it ran before the stop as lost.
    Given log lines of a service that was stopped after 4 s and started again 1 s later
    When the time of jobs is computed from these lines
    Then the job "aa" spent 6.0 s on "running", 0.5 s on "scheduler" and 0.5 s on "start"
    And the parts of each job add up to its total time

  Scenario: A cancellation was not accepted
    # Guards against counting a job as ended that went on.
    Given log lines of a job whose cancellation was refused after 1 s and which took 3 s
    When the time of jobs is computed from these lines
    Then the job "aa" spent 3.0 s on "running"

  Scenario: There are lines about batch tasks of the product's own interface
    # Guards against a command that fails because of lines that concern no job.
    Given log lines of a job whose cancellation was refused after 1 s and which took 3 s
    And a line about the placement of a batch task
    When the time of jobs is computed from these lines
    Then the job "aa" spent 3.0 s on "running"

  Scenario: Log lines are missing
    # Guards against attributing the time without log lines to another part.
    Given log lines of a job without those of its worker
    When the time of jobs is computed from these lines
    Then the job "aa" spent 5.0 s on "unknown"
    And the parts of each job add up to its total time

  Scenario: The command reports skipped lines and unknown time
    Given log lines of a job without those of its worker
    And a truncated line after them
    When "losses" is called with the log file
    Then it prints "4 lines, 1 skipped, 0 dropped"
    And it prints "not told by these logs: 100.0% of the time"
    And it prints "are files missing?"

  Scenario: The command is given a file that does not exist
    When "losses" is called with the file "gone.log"
    Then it fails with "--logs: got 'gone.log', expected a log file"

  Scenario: The command prints JSON
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When "losses" is called with the log file and "--json"
    Then the JSON object says that the job "aa" spent 2.0 s on "failed"

  Scenario: The command writes a plot
    Given log lines of a job whose task failed after 2 s and then took 3 s at half speed
    When "losses" is called with the log file and a plot to write
    Then the plot names the queue "q" and the parts "failed" and "slowed"
