Feature: A report of a worker that no config names reaches an attendant

  Scenario: An attendant that knows the config gets the report
    # Guards against tasks that run twice, as such a report replaces the worker.
    Given two entries and 2 workers for jobs
    And the config names the service of the workers
    When the long-running job "a" of 1 steps with 4 tasks of 1 s is submitted at entry-1
    And 2 s pass
    And worker-1's attendant gets the report of a worker of another service
    And 10 s pass
    Then 4 tasks run
    And 4 tasks were started, each once

  Scenario: An attendant that has just started gets the report
    # Guards against a worker that is not used again, since its reports seem older.
    Given two entries and 2 workers for jobs
    And the config names the service of the workers
    When worker-1 is killed and restarted after 0 s
    And worker-1's attendant gets the report of a worker of another service
    And 16 s pass
    And the long-running job "a" of 1 steps with 16 tasks of 1 s is submitted at entry-1
    And 10 s pass
    Then 16 tasks run

  Scenario: A config names a further service
    # Guards against workers of a new service that are ignored for good.
    Given two entries and 2 workers for jobs
    And the config names the service of the workers
    When worker-1's attendant gets the report of a worker of another service
    And 1 s pass
    And the config names that service too
    And 2 s pass
    And worker-1's attendant gets the report of a worker of another service
    Then worker-1's attendant calls that worker

  Scenario: A report names a port that does not exist
    # Guards against an attendant that ends when it connects to it.
    Then a report of the address "127.0.0.1:65536" is refused naming "address"
    And a report of the address "127.0.0.1:0" is refused naming "address"
