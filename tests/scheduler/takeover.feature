Feature: A new scheduler places tasks soon, however thin its link and large the state

  Scenario: A scheduler reads for longer than others wait for a renewal
    # Guards against holders that are replaced while they read, one after another.
    Given 6 entries and 2 workers for jobs
    And 150 active jobs of 10 tasks that an earlier scheduler has stored
    And all entries have links of 40 kB/s
    When the scheduling entry is killed
    And the job "next" of 1 steps with 4 tasks of 1 s is submitted at the other entry
    Then a task of "next" starts within 9 s
    And the lease row has been taken over once
