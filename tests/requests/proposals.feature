Feature: Proposals of claims are answered one by one

  Scenario: A member answers fewer proposals than it was sent
    # Guards against a service that ends because of one reply, and with it all claims.
    Given a member that answers 1 of 3 proposals
    When 3 proposals are sent to it at once, and 1 after them
    Then none of the first 3 has a verdict
    And the proposal after them has one
