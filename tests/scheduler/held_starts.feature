Feature: Starts that an attendant holds while its session changes

  Scenario: Starts wait for news of evacuations while their session changes
    # Guards against held starts that end with the session which ordered them.
    Given two entries and 2 workers for jobs in "north" and "south"
    And nothing more of the operator's rows can be read
    And 2 s pass
    And 5 s pass
    When the service "a" of 40 tasks that need 100 of 8000 millicores is submitted
    And 1 s pass
    Then 0 tasks run
    When worker-1 is killed and restarted after 0 s
    And the scheduler is killed
    And 8 s pass
    Then 0 tasks run
    When the operator's rows can be read again
    And 6 s pass
    Then 40 tasks run
    And no task ran twice at the same time or after its end
