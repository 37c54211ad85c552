Feature: Requests that are dear to decode take turns

  Scenario: Many heavy requests come at once, and then a light one
    # Guards against a process that answers nobody until it has decoded all that came.
    Given a process in which decoding a heavy request takes 50 ms
    When 200 heavy requests wait, and a light one comes
    Then the light one is decoded after at most 1 heavy one

  Scenario: More heavy requests come than may wait
    # Guards against a queue of heavy requests that takes the place of all others.
    Given a process in which decoding a heavy request takes 50 ms
    When 200 heavy requests wait, and a light one comes
    Then at most 65 heavy requests are decoded, and the others are refused as busy

  Scenario: The turn of a heavy request does not come soon
    # Guards against a caller who waits until nobody waits for the answer any more.
    Given a process in which decoding a heavy request takes 300 ms
    When 20 heavy requests wait, and a light one comes
    Then at most 3 heavy requests are decoded, and the others are refused as busy

  Scenario Outline: How dear a body is
    # Guards against taking small bodies of many objects for cheap ones.
    Then <body> is <weight>

    Examples:
      | body                                     | weight |
      | a job of 5 steps                         | light  |
      | a job whose text has 48000 bytes         | light  |
      | a job of 1000 empty steps                | heavy  |
      | a notification of a job of 1000 steps    | heavy  |
      | a report of 2000 runs                    | light  |

  Scenario: A notification holds more steps than any job
    # Guards against building what a byte each stands for before it is counted.
    When a notification of a job of 100000 steps is handled
    Then it is refused for its number of steps
