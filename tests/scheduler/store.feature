Feature: The store's faults lose no job and stop no task

  Scenario: The store is down while tasks run
    # Guards against tasks stopped by an outage shorter than their leases.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 8 s is handed in at entry-1
    And 1 s pass
    And the store is down for 5 s
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: Answers of the store are lost after the write
    # Guards against a scheduler that takes its own stored rows for another's.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 2 writes of the store are lost
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: Writes are carried out seconds later
    # Guards against a late write that puts back a state in which ended tasks wait.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    And the job "b" of 2 steps with 3 tasks of 1 s is handed in at entry-2
    And the next 3 writes of the store are carried out late
    Then the job "a" is "completed" within 30 s
    And the job "b" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: A job is handed in while the store is down
    # Guards against a job accepted that cannot be kept, or refused and run.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "410"
    And 0 tasks were started, each once

  Scenario: A job is handed in while the store has been down for a while
    # Guards against a caller held by an attempt that the entry knows to be in vain.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And the refusal took less than 50 ms

  Scenario: A job whose acceptance is open is handed in again
    # Guards against a refusal of a job whose first attempt was stored unanswered.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 1 writes of the store are lost
    And the store goes down in 100 ms
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "completed"

  Scenario: The answer to an acceptance is lost
    # Guards against a job refused, or run twice, when the answer to its write is lost.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 1 writes of the store are lost
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-2
    Then the job "a" is "completed" within 20 s
    And 2 tasks were started, each once

  Scenario: The store forgets its history
    # Guards against jobs missed where changes can no longer be told.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And the store's history is dropped
    And the job "b" of 1 steps with 2 tasks of 1 s is handed in at entry-2
    Then the job "a" is "completed" within 20 s
    And the job "b" is "completed" within 20 s

  Scenario: The scheduler is cut off from the store
    # Guards against a scheduler that cannot write and keeps its place.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the scheduler is cut off from the store
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at the other entry
    Then the job "a" is "completed" within 20 s at the other entry
    And no task ran twice at a time or after its end

  Scenario: The store turns one entry away
    # Guards against jobs refused by an entry that could ask by way of another.
    Given two entries and 2 workers for jobs
    And 12 s pass
    And the scheduler is cut off from the store
    When 3 s pass
    And the job "a" of 1 steps with 2 tasks of 1 s is handed in at that entry
    Then the job "a" is "completed" within 5 s at the other entry

  Scenario: Entries follow no more of a large job than of a small one
    # Guards against entries on slow links that follow each task, and fall behind.
    Given two entries and 3 workers for jobs
    When the job "a" of 3 steps with 8 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And what entries follow of the job "a" was written at most 2 times, 100 bytes at most

  Scenario: A scheduler that is busy keeps its place
    # Guards against a busy scheduler taken for one that is cut off.
    Given two entries and 2 workers for jobs
    When 60 jobs of 1 task are handed in over 12 s
    Then the scheduler has not changed

  Scenario: The store fails just as a new scheduler asks who is there
    # Guards against attendants that find a new scheduler only with their next report.
    Given two entries and 1 workers for jobs
    When the scheduler freezes
    And the next 2 readings of the members fail
    And another entry has taken over
    And the job "a" of 1 steps with 1 tasks of 60 s is handed in at the new scheduler
    And 400 ms pass
    Then 1 tasks run

  Scenario: A config comes while an entry follows the store by way of another
    # Guards against a question that waits with an entry that has been cut off in turn.
    Given two entries and 1 workers for jobs
    And 9 s pass
    And the scheduler is cut off from the store
    When 5 s pass
    And the other entry is cut off from the store in its place
    And the operator moves the queue to the path "/other/"
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 404 at that entry
