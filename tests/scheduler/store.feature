Feature: Faults of the store lose no job and stop no task

  Scenario: The store is down while tasks run
    # Guards against tasks stopped by an outage shorter than their leases.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 8 s is submitted at entry-1
    And 1 s pass
    And the store is down for 5 s
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at the same time or after its end

  Scenario: Answers of the store are lost after the write
    # Guards against a scheduler that mistakes its own stored rows for another's.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 2 writes of the store are lost
    When the job "a" of 2 steps with 3 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 30 s
    And no task ran twice at the same time or after its end

  Scenario: Writes are carried out seconds later
    # Guards against a late write that restores a state in which ended tasks wait.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is submitted at entry-1
    And the job "b" of 2 steps with 3 tasks of 1 s is submitted at entry-2
    And the next 3 writes of the store are carried out late
    Then the job "a" is "completed" within 30 s
    And the job "b" is "completed" within 30 s
    And no task ran twice at the same time or after its end

  Scenario: A job is submitted while the store is down
    # Guards against accepting a job that cannot be stored, or running a refused one.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "410"
    And 0 tasks were started, each once

  Scenario: A job is submitted after the store has been down for a while
    # Guards against a caller that waits for an attempt known to be futile.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And the refusal took less than 50 ms

  Scenario: A job whose acceptance is uncertain is submitted again
    # Guards against refusing a job whose first attempt was stored but not answered.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store withholds changes
    And the answers to the next 1 writes of the store are lost
    And the store goes down in 100 ms
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "completed"

  Scenario: A job is cancelled while its placement is being stored
    # Guards against tasks that start long after their job's cancellation is confirmed.
    Given two entries and 2 workers for jobs
    And the scheduler's writes take 900 ms
    When the job "a" of 1 steps with 4 tasks of 5 s is submitted at the other entry
    And 100 ms pass
    And the job "a" is cancelled at the other entry with status 200
    And 5 s pass
    Then 0 tasks were started in total
    And the job "a" is "cancelled" within 1 s
    And the workers hold no run

  Scenario: The answer to an acceptance is lost
    # Guards against a job refused, or run twice, when the answer to its write is lost.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 1 writes of the store are lost
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-2
    Then the job "a" is "completed" within 20 s
    And 2 tasks were started, each once

  Scenario: The store drops its history
    # Guards against missing jobs when changes can no longer be listed.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    And the store's history is dropped
    And the job "b" of 1 steps with 2 tasks of 1 s is submitted at entry-2
    Then the job "a" is "completed" within 20 s
    And the job "b" is "completed" within 20 s

  Scenario: The scheduler is cut off from the store
    # Guards against a scheduler that cannot write but is not replaced.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the scheduler is cut off from the store
    When the job "a" of 1 steps with 2 tasks of 1 s is submitted at the other entry
    Then the job "a" is "completed" within 20 s at the other entry
    And no task ran twice at the same time or after its end

  Scenario: The store refuses one entry
    # Guards against jobs refused by an entry that could use another entry as relay.
    Given two entries and 2 workers for jobs
    And 12 s pass
    And the scheduler is cut off from the store
    When 3 s pass
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at that entry
    Then the job "a" is "completed" within 5 s at the other entry

  Scenario: Entries receive no more data of a large job than of a small one
    # Guards against entries on slow links that receive every change of a task and lag.
    Given two entries and 3 workers for jobs
    When the job "a" of 3 steps with 8 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 20 s
    And the summary of the job "a" was written at most 2 times, 100 bytes at most

  Scenario: A busy scheduler is not replaced
    # Guards against mistaking a busy scheduler for one that is cut off.
    Given two entries and 2 workers for jobs
    When 60 jobs of 1 task are submitted over 12 s
    Then the scheduler has not changed

  Scenario: The store fails just as a new scheduler reads the members
    # Guards against attendants that find a new scheduler only with their next report.
    Given two entries and 1 workers for jobs
    When the scheduler freezes
    And the next 2 reads of the members fail
    And another entry has taken over
    And the job "a" of 1 steps with 1 tasks of 60 s is submitted at the new scheduler
    And 400 ms pass
    Then 1 tasks run

  Scenario: A config changes while an entry reads the store through another entry
    # Guards against a call that waits for an entry that has since been cut off itself.
    Given two entries and 1 workers for jobs
    And 9 s pass
    And the scheduler is cut off from the store
    When 5 s pass
    And the other entry is cut off from the store in its place
    And the operator moves the queue to the path "/other/"
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 404 at that entry
