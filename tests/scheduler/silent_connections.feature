Feature: Open connections become silent, and new ones work

  Scenario Outline: Tasks that last run on
    # Guards against a lease that expires while an attendant tries one silent connection
    # after the other, and against decisions from what was not heard.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And every process has <count> idle connections to each of its peers
    And every connection that <who> opened loses <what>
    And 10 s pass
    Then 4 tasks run
    And 4 tasks were started, each once

    Examples:
      | count | who     | what       |
      | 1     | worker  | everything |
      | 12    | worker  | everything |
      | 32    | worker  | everything |
      | 32    | worker  | answers    |
      | 32    | entry   | everything |
      | 32    | entry   | answers    |
      | 32    | anybody | everything |
      | 32    | anybody | answers    |

  Scenario Outline: A config comes into force
    # Guards against entries that keep an old config while they try one silent
    # connection to the store after the other.
    Given two entries and 2 workers for jobs
    When every process has <count> idle connections to each of its peers
    And every connection that <who> opened loses <what>
    And 500 ms pass
    Then a config that is written now is in force at both entries within 4500 ms

    Examples:
      | count | who     | what       |
      | 1     | entry   | everything |
      | 12    | entry   | everything |
      | 32    | entry   | everything |
      | 32    | entry   | answers    |
      | 32    | anybody | everything |

  Scenario Outline: A job is accepted and its tasks run
    # Guards against jobs that wait while one silent connection after the other is tried.
    Given two entries and 2 workers for jobs
    When every process has 32 idle connections to each of its peers
    And every connection that <who> opened loses <what>
    And 3 s pass
    And the job "b" of 1 steps with 6 tasks of 1 s is submitted at entry-1
    And 3 s pass
    Then the state of the job "b" at entry-1 is "completed"
    And 6 tasks were started, each once

    Examples:
      | who     | what       |
      | entry   | everything |
      | worker  | everything |
      | anybody | everything |
      | anybody | answers    |

  Scenario Outline: A step is placed that needs tickets
    # Guards against a call that waits in turn at the service which decides on workers.
    Given two entries and 3 workers for jobs
    And the queue's policy allows all workers, with tickets for 20 s
    When the job "a" of 4 tasks of 1 s that need tickets is submitted at entry-1
    And 4 s pass
    And every process has 32 idle connections to each of its peers
    And every connection that entry opened loses <what>
    And the job "b" of 4 tasks of 1 s that need tickets is submitted at entry-1
    Then the job "b" is "completed" within 4 s
    And no start was refused for lack of a ticket

    Examples:
      | what       |
      | everything |
      | answers    |

  Scenario Outline: A config comes into force through another entry
    # Guards against relays that are asked over silent connections.
    Given two entries and 2 workers for jobs
    And the scheduler is cut off from the store
    When 3 s pass
    And every process has 32 idle connections to each of its peers
    And every connection that entry opened loses <what>
    And 500 ms pass
    Then a config that is written now is in force at both entries within 4500 ms

    Examples:
      | what       |
      | everything |
      | answers    |

  Scenario: Connections become silent again and again
    # Guards against a process that keeps what silent connections have left behind.
    Given two entries and 2 workers for jobs
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And every connection becomes silent 6 times, once every 4 s
    And 4 s pass
    Then 4 tasks run
    And 4 tasks were started, each once
    And no process has more than 12 connections open
