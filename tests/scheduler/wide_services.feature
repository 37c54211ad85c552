Feature: Services of many tasks whose workers end right after the start

  # Users consider a service's task lost if it does not run for 3 s after 4 s in which
  # nothing has failed.

  Scenario: A worker ends for good as the store fails and the scheduler is replaced
    # Guards against runs kept for a worker that ended before anyone heard of it.
    Given two entries and 4 workers for jobs
    When the service "a" of 32 tasks that need 500 of 8000 millicores is submitted
    And a VM that runs "a" is lost permanently 350 ms after its first start
    And the store is down from now on
    And 2 s pass
    And the scheduler is killed
    And 9 s pass with the store up again
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker comes back refusing, and schedulers die before they store it
    # Guards against rejected runs that each later scheduler orders and nobody starts.
    Given two entries and 4 workers for jobs
    When the service "a" of 32 tasks that need 500 of 8000 millicores is submitted
    And a VM that runs "a" crashes 350 ms after its first start, and refuses all starts
    And the store goes down as soon as that VM is sent a start again
    And 200 ms pass
    And the scheduler is killed
    And that VM accepts starts again
    And 9 s pass with the store up again
    Then 32 tasks run
    And no task ran twice at the same time or after its end

  Scenario: A worker ends right after the start, and its attendant restarts
    # Guards against runs that an attendant without a worker keeps alive.
    Given two entries and 4 workers for jobs
    When the service "a" of 40 tasks that need 500 of 8000 millicores is submitted
    And a VM that runs "a" is lost permanently 350 ms after its first start
    And that VM's attendant stops, and starts again after 1 s
    And the scheduler is killed
    And 9 s pass
    Then 40 tasks run
    And no task ran twice at the same time or after its end
