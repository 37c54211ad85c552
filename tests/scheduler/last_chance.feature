Feature: The scheduler resumes a large deferred job before it is of no use

  Scenario: A large job while more jobs arrive than the workers can process
    # Guards against a deferred job that gets nothing until it is of no use to its
    # caller, and against log lines that do not say why a job is deferred or resumed.
    Given 3 entries that use the order "least-cost" and 1 workers for jobs
    And the queue's objective is 2 times a job's length and 1000 ms
    And log lines are recorded
    When jobs of 8 tasks of 2 s arrive every 1500 ms for 27 s
    And the job "l" of 32 tasks of 2 s arrives 6 s after the first of them
    Then the job "l" ends within 15 s
    And its deferral is logged with the reason "late"
    And the end of its deferral is logged with the reason "last-chance"
