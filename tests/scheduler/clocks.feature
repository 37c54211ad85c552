Feature: Jumps of the time of day change no retention, order or lease

  Scenario: The scheduler's time of day jumps ahead while a job has just ended
    # Guards against jobs that are forgotten long before their retention has passed.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 5 s
    And the time of day of all entries jumps by 300 s
    And 15 s pass
    And the job "a" is "completed" within 1 s

  Scenario: The scheduler's time of day jumps back
    # Guards against jobs that are kept for as long as the time of day has jumped back.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 1 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 5 s
    And the time of day of all entries jumps by -300 s
    And 45 s pass
    And the job "a" is "410" within 1 s

  Scenario: The scheduler's time of day jumps ahead while jobs wait
    # Guards against jobs that all count as too late to be of use.
    Given two entries and 1 workers for jobs
    And the queue's objective is 1 times a job's length and 1000 ms
    And a job "a" of 4 s on a whole worker that declares 4000 ms is submitted
    And a job "b" of 4 s on a whole worker that declares 4000 ms is submitted
    And a job "c" of 4 s on a whole worker that declares 4000 ms is submitted
    And a job "d" of 4 s on a whole worker that declares 4000 ms is submitted
    And a job "old" of 4 s on a whole worker that declares 4000 ms is submitted
    And 15 s pass
    And the time of day of the scheduler jumps by 300 s
    And a job "new" of 4 s on a whole worker that declares 4000 ms is submitted
    And 4 s pass
    Then no task of "old" was started before those of "new"

  Scenario: The time of day jumps ahead and back while tasks run
    # Guards against leases that count by the time of day.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 12 s is submitted at entry-1
    And 2 s pass
    And the time of day of all entries jumps by 300 s
    And the time of day of all attendants jumps by 300 s
    And 5 s pass
    And the time of day of all entries jumps by -600 s
    And the time of day of all attendants jumps by -600 s
    Then the job "a" is "completed" within 10 s
    And 4 tasks were started, each once
