Feature: Configs under combinations of faults

  Scenario: No sequence of faults blocks a config or restores an older one
    # The faults are slow links, partitions, pauses, restarts, outages and lost history.
    Then the machine "configs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle detects answers that are given up in transit
    # Planted fault: the timeout for the start of an answer applies to its whole length.
    Then with the planted fault "answers given up on their way" the machine "configs" fails
