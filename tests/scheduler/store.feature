Feature: The store's faults lose no job and stop no task

  Scenario: The store is down while tasks run
    # Nobody can renew anything for 5 s. The scheduler's authority and the workers'
    # leases outlast that; no task is stopped.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 4 tasks of 8 s is handed in at entry-1
    And 1 s pass
    And the store is down for 5 s
    Then the job "a" is "completed" within 20 s
    And 4 tasks were started, each once
    And no task ran twice at a time or after its end

  Scenario: Answers of the store are lost after the write
    # The scheduler cannot know whether what it decided is stored. It sends the
    # same conditional write again and finds its own rows.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 2 writes of the store are lost
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: Writes are carried out seconds later
    # By then newer rows stand. The late write's conditions fail, or it would put
    # back a state in which ended tasks still wait.
    Given two entries and 2 workers for jobs
    When the job "a" of 2 steps with 3 tasks of 1 s is handed in at entry-1
    And the job "b" of 2 steps with 3 tasks of 1 s is handed in at entry-2
    And the next 3 writes of the store are carried out late
    Then the job "a" is "completed" within 30 s
    And the job "b" is "completed" within 30 s
    And no task ran twice at a time or after its end

  Scenario: A job is handed in while the store is down
    # It cannot be kept, so it is refused at once, which is true: it never runs.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "410"
    And 0 tasks were started, each once

  Scenario: A job is handed in while the store has been down for a while
    # The entry knows, so its caller is told when to come back without being held: an
    # attempt to write would only use up the time that the caller has.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the store is down from now on
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is refused at entry-1
    And the refusal took less than 50 ms

  Scenario: A job whose acceptance is open is handed in again
    # The first attempt's answer was lost, then the store went down. The row stands, so
    # the second attempt must not be told that the job will never run.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 1 writes of the store are lost
    And the store goes down in 100 ms
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And the job "a" of 1 steps with 1 tasks of 1 s is answered 504 at entry-1
    And 5 s pass with the store up again
    And the state of the job "a" at entry-2 is "completed"

  Scenario: The answer to an acceptance is lost
    # The row may stand, so the job is not refused: the entry asks again and finds
    # it. The caller's repeat at the other entry is the same job.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the answers to the next 1 writes of the store are lost
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-2
    Then the job "a" is "completed" within 20 s
    And 2 tasks were started, each once

  Scenario: The store forgets its history
    # What changed meanwhile cannot be told any more. The entries read the rows
    # again and miss nothing.
    Given two entries and 2 workers for jobs
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at entry-1
    And the store's history is dropped
    And the job "b" of 1 steps with 2 tasks of 1 s is handed in at entry-2
    Then the job "a" is "completed" within 20 s
    And the job "b" is "completed" within 20 s

  Scenario: The scheduler is cut off from the store
    # It cannot write any more, while another entry can. That one takes over.
    Given two entries and 2 workers for jobs
    And 1 s pass
    And the scheduler is cut off from the store
    When the job "a" of 1 steps with 2 tasks of 1 s is handed in at the other entry
    Then the job "a" is "completed" within 20 s at the other entry
    And no task ran twice at a time or after its end

  Scenario: The store turns one entry away
    # It can still ask another entry to pass its requests on, so that a job handed
    # in there is accepted as anywhere.
    Given two entries and 2 workers for jobs
    And 12 s pass
    And the scheduler is cut off from the store
    When 3 s pass
    And the job "a" of 1 steps with 2 tasks of 1 s is handed in at that entry
    Then the job "a" is "completed" within 5 s at the other entry

  Scenario: Entries follow no more of a large job than of a small one
    # Each change of a task sent the progress of all tasks of its job to every entry.
    # At 160 starts a second that is more than a link of 5 Mbit/s carries: such entries
    # fell behind for 20 s, told the balancer so, and answered callers from old copies.
    Given two entries and 3 workers for jobs
    When the job "a" of 3 steps with 8 tasks of 1 s is handed in at entry-1
    Then the job "a" is "completed" within 20 s
    And what entries follow of the job "a" was written at most 2 times, 100 bytes at most

  Scenario: A scheduler that is busy keeps its place
    # It writes all the time, and each write proves its right. The others watch only
    # the lease row: if that were not renewed beside the other writes, they would
    # take a busy scheduler for one that is cut off.
    Given two entries and 2 workers for jobs
    When 60 jobs of 1 task are handed in over 12 s
    Then the scheduler has not changed

  Scenario: The store fails just as a new scheduler asks who is there
    # The scheduler dies, and the next one is to introduce itself to all attendants. The
    # one reading of their addresses failed and was not repeated, so that each found the
    # new scheduler only with its next report: for up to a second nothing was started.
    Given two entries and 1 workers for jobs
    When the scheduler freezes
    And the next 2 readings of the members fail
    And another entry has taken over
    And the job "a" of 1 steps with 1 tasks of 60 s is handed in at the new scheduler
    And 400 ms pass
    Then 1 tasks run

  Scenario: A config comes while an entry follows the store by way of another
    # The store turns an entry away, which then asks by way of another entry. That one is
    # cut off from the store while a question waits there, and the first could reach the
    # store again by itself. A config is to be in force within 2 s; here the question is
    # waited for, and callers are refused by an older config for longer.
    Given two entries and 1 workers for jobs
    And 9 s pass
    And the scheduler is cut off from the store
    When 5 s pass
    And the other entry is cut off from the store in its place
    And the operator moves the queue to the path "/other/"
    And 2 s pass
    Then the job "a" of 1 steps with 1 tasks of 1 s is answered 404 at that entry
