Feature: Keyed requests under combinations of faults

  Scenario: No order of faults makes a key run twice or an answer false
    # Messages are lost, late and repeated, processes die and pause, the table fails.
    Then the machine "keyed requests" finds nothing in 25 runs of 25 steps

  Scenario: The oracle sees a key that two entries both send
    # Planted: an entry acquires claims without consulting the others.
    Then with the planted fault "claims without asking" the machine "keyed requests" fails

  Scenario: The oracle sees a cancelled request that starts after all
    # Planted: an attendant forgets a cancellation, so a paused entry's message starts it.
    Then with the planted fault "cancel without tombstone" the machine "keyed requests" fails
