Feature: A task runs in one place, is never lost, and no VM is overcommitted

  Scenario: Two entries place on one worker by views that are both right and stale
    # Each entry sees a free worker and proposes as many tasks as fit. Together
    # that is twice what the VM has. Only the worker's attendant can know.
    Given two entries and 1 workers in memory
    When 4 customers each submit 3 tasks of 4 processors
    Then every task is finished
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: A worker's VM is lost
    # The VM vanishes with all it runs. Its lease lapses, the owner queues the
    # task again, and the next attempt resumes from the last checkpoint.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 7000 ms
    And the VM that runs "b1" is lost
    Then every task is finished
    And "b1" was started 2 times, the last from 4 s on or later
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An attendant dies and its worker goes on
    # Only the small process is gone. The worker's tasks go on under the lease;
    # the new attendant takes them over and counts their room before it admits
    # anything.
    Given two entries and 1 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the attendant of worker-01 is killed and started anew
    And 4 customers each submit 1 tasks of 4 processors
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An attendant is paused past its lease and wakes
    # The attendant freezes, so the lease lapses and the worker suspends its
    # tasks. The owner starts them elsewhere. When the attendant wakes it must
    # not let the old attempt go on.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the attendant of the worker that runs "b1" is paused for 8150 ms
    Then every task is finished
    And "b1" was started 2 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The table is down for a minute, twenty leases long
    # Nobody can renew. The workers suspend their tasks at the lapse, for their
    # attendants cannot know whether anybody took them. When the table is back
    # everybody gets a whole lease to renew before anybody is declared lost.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the table is down for 60000 ms
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The owner dies between writing the row and starting the task
    # The table says that the task runs on a worker that has never been told to
    # start it. Whoever owns the partition next must notice, and start it once.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 1 s
    And the owner of "b1" is killed as soon as its row says that it runs
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The answer to the owner's write is lost
    # The row says that the task runs, and the owner does not know it. It sends
    # the same conditional write again and meets its own row.
    Given two entries and 2 workers in memory
    And the answer to each of the next 3 writes is lost
    When "arolwg" submits the task "b1" until it is told the outcome
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An owner is paused past its lease and wakes among its old plans
    # The other entry has taken the partition over. What the first writes when
    # it wakes is conditional on an epoch that has passed.
    Given two entries and 2 workers in memory
    When the owner of customer "arolwg" is paused
    And "arolwg" submits the task "b1" which runs for 3 s at the other entry
    And 12000 ms pass
    And the paused entry wakes
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: One worker fails everything it starts
    # It is always free, so everything is sent there and fails. After a few
    # different tasks it is passed over.
    Given two entries and 3 workers in memory
    And worker-01 fails everything it starts
    When 4 customers each submit 3 tasks of 4 processors
    Then every task is finished
    And at most 8 attempts failed

  Scenario: A wave of cancellations
    # A customer cancels everything, queued and running. Nothing of it may run
    # on, and the room is free for others.
    Given two entries and 1 workers in memory
    When "arolwg" submits 5 tasks which run for 100 s
    And 2000 ms pass
    And "arolwg" cancels all its tasks
    Then every task of "arolwg" is cancelled and runs nowhere
    When "labs" submits the task "b9" which runs for 1 s
    Then the task "b9" is finished

  Scenario: A job that can never run under its plan
    # It asks for more than the plan allows at all. Queued, it would wait for
    # ever; the customer hears so at once, against the lines of the lists.
    Given two entries and 1 workers in memory
    When "arolwg" submits the task "huge" of 65 processors
    Then it is refused with status 403

  Scenario: A task accepted while its partition changes hands
    # The entries have just started and are spreading the partitions. The entry
    # that accepts a task takes itself for the owner, and is not any more; the
    # owner has read the partition before. Nobody looked for ten seconds.
    Given two entries and 2 workers in memory
    When 4 customers each submit 1 tasks of 4 processors
    And 1500 ms pass
    Then every task has been started

  Scenario: A task ends while its owner cannot hear of it, and the lease lapses
    # The build is done, but the attendant reaches no entry, and then its VM is
    # lost. Run again, it would burn its licences twice. The attendant has
    # stored the result where the owner looks before it queues the task again.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 4 s
    And the task "b1" runs for 2000 ms
    And the worker that runs "b1" is cut off from the entries
    And 3500 ms pass
    And the VM that runs "b1" is lost
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: An entry that has seen many tasks end
    # It remembers what runs, to know which kinds share a worker. Remembering
    # what has ended too, it would grow with every task until it is killed.
    Given two entries and 2 workers in memory
    When 4 customers each submit 3 tasks of 1 processors
    Then every task is finished
    And no entry remembers any task

  Scenario: A start arrives for an attempt that is long over
    # An owner that was replaced without knowing it finds its task in no report
    # and asks for the start again. The task has ended under the next owner, and
    # the attendant has forgotten it; only the table knows.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 1 s
    Then the task "b1" is finished
    When 2000 ms pass
    And the worker of "b1" is asked again to start it
    And 5000 ms pass
    Then "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice

  Scenario: The table comes back to the entries before it does to the workers
    # After an outage the entries read rows that nobody could renew. The workers
    # need a moment more; they must not be declared lost meanwhile.
    Given two entries and 2 workers in memory
    When "arolwg" submits the task "b1" which runs for 10 s
    And the task "b1" runs for 2000 ms
    And the table is down for 20000 ms, and 1500 ms more for the workers
    Then every task is finished
    And "b1" was started 1 times
    And no worker was ever overcommitted, and nothing ran twice
