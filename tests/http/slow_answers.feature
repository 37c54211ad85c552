Feature: The HTTP client receives slow responses and detects stalled ones

  Scenario: A response takes longer than the limit for its start
    # Guards against a time limit on the whole response: a large one on a slow link would
    # time out while it arrives, and so would each repetition.
    Given a peer that sends a response in 20 pieces, one every 40 ms
    When a request is sent that requires the response to start within 300 ms
    Then all 20 pieces are returned

  Scenario: A response stalls
    # Guards against a caller that waits for the rest without limit.
    Given a peer that sends 2 of 20 pieces of a response, then nothing
    When a request is sent that requires the response to start within 300 ms
    Then the exchange fails, and the error reports 2 pieces as received
