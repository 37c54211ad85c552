Feature: The bytes of requests are bounded, and nobody keeps the place of others

  Background:
    Given an account of 100 KB, beside which 16 KB of each request are free

  Scenario: Requests that are not complete give way to later ones
    # Guards against a crowd that comes first and keeps everybody else out.
    Given 5 requests of 36 KB that have been arriving for 3 s
    When a request of 56 KB arrives
    Then it is taken, and 2 of the earlier ones are displaced
    And 100 KB are held

  Scenario: Requests that arrive now do not give way
    # Guards against large requests that displace each other and never come to an end.
    Given 5 requests of 36 KB that have been arriving for 1 s
    When a request of 56 KB arrives
    Then it is refused, and 0 of the earlier ones are displaced
    And 100 KB are held

  Scenario: Requests that are being handled do not give way
    # Guards against closing a connection whose request has taken effect.
    Given 5 complete requests of 36 KB that began 3 s ago
    When a request of 56 KB arrives
    Then it is refused, and 0 of the earlier ones are displaced

  Scenario: Small requests are taken, whatever large ones hold
    # Guards against large requests that keep ordinary ones out.
    Given 5 requests of 36 KB that have been arriving for 1 s
    When a request of 16 KB arrives
    Then it is taken, and 0 of the earlier ones are displaced
