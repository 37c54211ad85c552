Feature: Declared task lengths are corrected by observed ones

  Scenario: Jobs with meaningless declared lengths run in the order of submission
    # Guards against jobs preferred as urgent only because they declare a short length.
    Given two entries and 1 workers for jobs
    And the queue's objective is 3 times a job's length and 1000 ms
    When 12 jobs of 2 s that declare 100 ms and 100 s alternately have run on a whole worker
    And a job "x" of 2 s on a whole worker that declares 60000 ms is submitted
    And 500 ms pass
    And a job "y" of 2 s on a whole worker that declares 60000 ms is submitted
    And 1000 ms pass
    And a job "z" of 2 s on a whole worker that declares 1000 ms is submitted
    Then the job "y" is "completed" within 6 s
    And no task of "z" was started before those of "y"
