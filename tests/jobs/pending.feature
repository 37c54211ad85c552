Feature: Callers are told how many jobs of a queue have not begun

  Scenario: A scheduler is replaced before it has stored that a job has begun
    # Guards against a job that counts as pending for good although its tasks run.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 30 s is submitted at entry-1
    And a task of "a" has been started, and its start is not stored
    And the scheduling entry is killed
    And another entry has taken over
    And 3 s pass
    Then the other entry counts 0 pending jobs
    And 2 tasks were started, each once

  Scenario: A scheduler is replaced before a job's worker has started it
    # Guards against a successor that counts a job as begun because it has a record.
    Given two entries and 1 workers for jobs
    When worker-1's VM stops answering
    And the job "a" of 1 steps with 2 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And the scheduling entry is killed
    And another entry has taken over
    And 2 s pass
    Then the other entry counts 1 pending jobs

  Scenario: A worker refuses a job's only run
    # Guards against a job that counts as begun because its start was ordered.
    Given two entries and 1 workers for jobs
    And worker-1's VM refuses all starts
    When the job "a" of 1 steps with 1 tasks of 30 s is submitted at entry-1
    And 4 s pass
    Then entry-1 counts 1 pending jobs
    When worker-1's VM accepts starts again
    And 6 s pass
    Then entry-1 counts 0 pending jobs

  Scenario: A job fails because no worker accepts its tasks
    # Guards against a job that has ended and counts as pending until it is removed.
    Given two entries and 1 workers for jobs
    When the job "a" that workers reject as invalid is submitted at entry-1
    Then the job "a" is "failed" within 5 s
    When 1 s pass
    Then entry-1 counts 0 pending jobs
    And entry-2 counts 0 pending jobs
    And no task of "a" was started

  Scenario: A job is cancelled before it has begun
    # Guards against a cancelled job that counts as pending or is started.
    Given two entries and 1 workers for jobs
    When worker-1's VM stops answering
    And the job "a" of 1 steps with 2 tasks of 4 s is submitted at entry-1
    And 2 s pass
    And the job "a" is cancelled at entry-1 with status 200
    And 1 s pass
    Then entry-2 counts 0 pending jobs
    And the job "a" is "cancelled" within 1 s
    When worker-1's VM answers again
    And 12 s pass
    Then no task of "a" was started

  Scenario: A job that has begun waits for a worker again
    # Guards against a job that is pending anew once its runs are lost.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 30 s is submitted at entry-1
    And 2 s pass
    And worker-1's VM is lost permanently
    And 12 s pass
    Then entry-1 counts 0 pending jobs
    And the job "a" is "running" within 1 s
    When the scheduling entry is killed
    And another entry has taken over
    And 3 s pass
    Then the other entry counts 0 pending jobs
    And the job "a" is "running" within 1 s

  Scenario: A job that has begun loses its worker and its scheduler at once
    # Guards against a successor that takes a job's older record for its present state.
    Given two entries and 1 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 30 s is submitted at entry-1
    And 2 s pass
    And worker-1 and its VM are lost
    And the scheduling entry is killed
    And another entry has taken over
    And 15 s pass
    Then the other entry counts 0 pending jobs
    And the job "a" is "running" within 1 s
