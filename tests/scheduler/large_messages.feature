Feature: No message between processes outgrows what they can send

  Scenario Outline: The images that interfere have names <kind>
    # Guards against reports that are refused for their size, with the lease in them.
    Given two entries and 2 workers for jobs
    When 12 services and 12 fillers whose images have names <kind> run side by side for 12 s
    And the job "a" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "a" is "completed" within 10 s
    And all services are still at work, each task started once
    And the scheduler knows at least 12 pairs of images
    And no report, reply or order was larger than 300000 bytes
    And the store has refused no transaction for its size

    Examples:
      | kind                                       |
      | of 32000 characters                        |
      | of 900 characters that take six bytes each |
      | that differ in the last of 200 characters  |

  Scenario: Many tasks with large payloads start on one worker
    # Guards against orders that are refused for their size, again and again.
    Given two entries and 1 workers for jobs
    When 300 jobs with a payload of 40000 bytes are submitted
    Then 300 tasks were started within 20 s, each once
    And no report, reply or order was larger than 300000 bytes

  Scenario: A worker's attendant restarts beside many such tasks
    # Guards against a session whose first orders are refused for their size.
    Given two entries and 1 workers for jobs
    When 300 jobs with a payload of 40000 bytes are submitted
    And 20 s pass
    And worker-1 is killed and restarted after 0 s
    And 20 s pass
    Then 300 tasks were started within 1 s, each once
    And 300 tasks run
    And no report, reply or order was larger than 300000 bytes

  Scenario: What the store has to tell is larger than a message
    # Guards against an entry that asks for the same changes for ever.
    Given two entries and 2 workers for jobs
    And entry-2 is cut off from the store and from entry-1
    When 300 jobs with a payload of 40000 bytes are submitted
    And 2 s pass
    And entry-2 reaches the store and entry-1 again
    And 3 s pass
    Then entry-2 knows 300 jobs

  Scenario: Workers save checkpoints of any length
    # Guards against reports and records that grow with what a worker lists.
    Given two entries and 2 workers for jobs
    When the job "a" of 30 tasks of 4 s with checkpoints of 200000 characters is submitted
    And the job "b" of 1 steps with 2 tasks of 1 s is submitted at entry-1
    Then the job "b" is "completed" within 5 s
    And the job "a" is "completed" within 20 s
    And 32 tasks were started, each once
    And no report, reply or order was larger than 300000 bytes
    And the store has refused no transaction for its size
