Feature: Configs under every fault at once

  Scenario: No order of faults holds a config up or brings an older one back
    # Links that carry little, cuts, pauses, restarts, outages and history that is lost.
    Then the machine "configs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle sees answers that are given up on their way
    # Planted: the time for an answer to begin bounds the whole of it.
    Then with the planted fault "answers given up on their way" the machine "configs" fails
