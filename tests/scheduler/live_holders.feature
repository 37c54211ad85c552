Feature: A holder that cannot renew its row grants no longer than a successor waits

  Scenario Outline: The scheduler <does> all but a worker that is cut off later
    # Guards against a successor that takes a holder whom it cannot reach for ended, and
    # starts tasks again that run on under leases which the holder granted meanwhile.
    Given 4 entries and 3 workers for jobs
    When the service "a" of 24 tasks that need 100 of 8000 millicores is submitted
    And 4 s pass
    And the scheduler <does> all but worker-1's attendant
    And 200 ms pass
    And the store is down for 2 s
    And worker-1 is cut off from all others and runs on
    And the store is down for <outage> s
    And 4 s pass
    And all are reached again
    And 10 s pass
    Then no task ran twice at the same time or after its end
    And 24 tasks of "a" run

    Examples:
      | does            | outage |
      | is refused by   | 2      |
      | is refused by   | 4      |
      | is cut off from | 2      |
      | is cut off from | 4      |

  Scenario Outline: A worker and its attendant are lost as the scheduler <ends>
    # Guards against a successor that waits for leases that the holder could not grant.
    Given 4 entries and 3 workers for jobs
    When the service "a" of 24 tasks that need 100 of 8000 millicores is submitted
    And 4 s pass
    And the scheduler <ends>
    And <gap> ms pass
    And worker-1's VM is lost permanently
    And worker-1's attendant is killed
    And 7 s pass
    Then 24 tasks of "a" run
    And no task ran twice at the same time or after its end

    Examples:
      | ends            | gap  |
      | is killed       | 0    |
      | freezes         | 0    |
      | freezes         | 1000 |
      | is asked to end | 0    |
      | is asked to end | 1000 |

  Scenario: An entry that the holder has not heard takes over
    # Guards against a successor that reckons with a promise that was made to others.
    Given 3 entries and 3 workers for jobs
    When the service "a" of 24 tasks that need 100 of 8000 millicores is submitted
    And 4 s pass
    And the scheduler and one entry no longer hear one another
    And 3 s pass
    And the store is down from now on
    And 3 s pass
    And worker-1 is cut off from all others and runs on
    And all other entries freeze
    And 0 s pass with the store up again
    And another entry has taken over, and 5 s pass
    And all are reached again
    And 10 s pass
    Then no task ran twice at the same time or after its end
    And 24 tasks of "a" run

  Scenario Outline: A holder whose renewal is <age> s old is asked for a lease
    # Guards against leases that reach farther than one of the entries knows that may
    # read the row.
    Given a holder whose stored row lists "<stored>", and "<written>" in a write since
    And its last renewal was sent <age> s ago
    And the entries "one two" got answers that were sent 0.2 and 2 s ago
    Then it grants a lease of <lease> s

    Examples:
      | stored  | written | age | lease |
      | one     | -       | 0   | 6.4   |
      | one     | -       | 4   | 5.0   |
      | one     | -       | 3   | 6.0   |
      | one     | -       | 10  | 0.0   |
      | one two | -       | 4   | 4.4   |
      | one     | one two | 4   | 4.4   |
      | one two | one     | 4   | 4.4   |
      | nobody  | -       | 4   | 2.4   |
      | nobody  | one     | 4   | 2.4   |
      | one     | nobody  | 4   | 2.4   |

  Scenario Outline: A ping says that <sender> got <answer>
    # Guards against a lease that counts from what no standby knows.
    Given a holder whose stored row lists "one", and "-" in a write since
    And its last renewal was sent 4 s ago
    And the entry "one" got an answer that was sent 2 s ago
    When a ping says that <sender> got <answer>
    Then it grants a lease of <lease> s

    Examples:
      | sender          | answer                             | lease |
      | the entry "one" | an answer that was sent 1.5 s ago  | 4.9   |
      | the entry "one" | an answer that was sent 3 s ago    | 4.4   |
      | the entry "one" | an answer that will be sent in 1 s | 4.4   |
      | the entry "one" | an answer of another incarnation   | 4.4   |

  Scenario: The write that takes the row over is not answered
    # Guards against a holder that is told of answers which the row of its successor,
    # stored unheard, does not reckon with.
    Given an entry that got an answer with the clock reading 1000
    When it begins to take the row over
    And it gets an answer with the clock reading 2000
    Then its next ping sends back the reading 1000
    When the row has changed
    And it gets an answer with the clock reading 3000
    Then its next ping sends back the reading 3000
