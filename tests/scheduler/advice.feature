Feature: Queues whose policy restricts the workers of a step

  Scenario: A step is placed only on workers that the policy allows
    # Guards against a start without a ticket from the service that decides which
    # workers may run a step.
    Given two entries and 3 workers for jobs
    And the queue's policy allows only worker-2
    When the job "a" of 4 tasks of 1 s that need tickets is submitted at entry-1
    Then the job "a" is "completed" within 6 s
    And nothing was started on worker-1
    And nothing was started on worker-3
    And no start was refused for lack of a ticket

  Scenario: Tickets expire before there was room for all tasks
    # Guards against late starts that use the expired tickets of the first answer.
    Given two entries and 2 workers for jobs
    And the queue's policy allows only worker-1
    When the job "a" of 20 tasks of 2 s that need tickets is submitted at entry-1
    Then the job "a" is "completed" within 15 s
    And nothing was started on worker-2
    And no start was refused for lack of a ticket

  Scenario: The workers with tickets have restarted
    # Guards against a step that asks about no other worker until its tickets expire.
    Given two entries and 2 workers for jobs
    And the queue's policy allows all workers, with tickets for 20 s
    When the service "a" of 12 tasks that need a ticket is submitted
    And 2 s pass
    And worker-1's VM crashes and reports at once
    And worker-2's VM crashes and reports at once
    And 2 s pass
    Then 12 tasks run
    And no start was refused for lack of a ticket

  Scenario: The workers with tickets are full
    # Guards against the same while the other workers have room.
    Given two entries and 4 workers for jobs
    And the queue's policy allows all workers, with tickets for 20 s
    And worker-3 reports that its VM drains
    And worker-4 reports that its VM drains
    When the service "a" of 32 tasks that need a ticket and a processor is submitted
    And 2 s pass
    And worker-3 reports that its VM stays
    And worker-4 reports that its VM stays
    And 2 s pass
    Then 32 tasks run
    And no start was refused for lack of a ticket
