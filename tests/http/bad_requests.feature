Feature: Bad requests get an error that says what is wrong

  Scenario: A body is larger than any that is accepted
    # Guards against a caller that takes a body that is too large for a malformed one.
    Given an HTTP server
    When a request announces a body of 9000000 bytes and sends it
    Then the response has the status 413

  Scenario Outline: A number is written in characters that are no decimal digits
    # Guards against an internal error in place of one that names the value.
    When "<text>" is parsed as <kind>
    Then it is rejected

    Examples:
      | kind        | text        |
      | an address  | 10.0.0.7:²  |
      | a heartbeat | 10.0.0.7:²  |
