Feature: Keyed requests under every fault at once

  Scenario: No order of faults makes a key run twice or an answer untrue
    # Messages lost, late and repeated, processes killed and paused, the table failing.
    Then the machine "keyed requests" finds nothing in 25 runs of 25 steps

  Scenario: The oracle sees a key that two entries both send
    # Planted: an entry claims without asking the others.
    Then with the planted fault "claims without asking" the machine "keyed requests" fails

  Scenario: The oracle sees a cancelled request that starts after all
    # Planted: an attendant forgets a cancellation, and a paused entry's message starts it.
    Then with the planted fault "cancel without tombstone" the machine "keyed requests" fails
