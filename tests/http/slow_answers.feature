Feature: The HTTP client tells a slow answer from none

  Scenario: An answer comes for longer than it was given to begin
    # It was given up while it was on its way, and every repetition of it as well.
    Given a peer that sends 20 pieces of an answer, one every 40 ms
    When the peer is asked for an answer that is to begin within 300 ms
    Then all 20 pieces are returned

  Scenario: An answer stops on its way
    # Whoever asked would wait for the rest for ever.
    Given a peer that sends 2 pieces of 20 of an answer, then nothing
    When the peer is asked for an answer that is to begin within 300 ms
    Then the exchange fails, and the error names 2 pieces as received
