Feature: Only a VM on which no process listens counts as refusing connections

  Scenario Outline: A connection is <outcome> while it is opened
    # Guards against a worker that is taken for ended because a network reset a connection.
    When an HTTP request is sent while new connections are <outcome>
    Then the request fails before it is sent, and the peer <verdict>

    Examples:
      | outcome     | verdict        |
      | refused     | is refusing    |
      | reset       | is not refusing |
      | aborted     | is not refusing |
      | not made    | is not refusing |
