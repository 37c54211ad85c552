Feature: Attendants are told when the runs of fillers must end

  Scenario: Two steps wait for a filler one after the other
    # Guards against runs that count as early although later steps still need their time.
    Given a job of 3 steps of 2000 ms in a chain, due after 20000 ms
    Then a run of step 0 must end within 16000 ms
    And a run of step 2 must end within 20000 ms

  Scenario: A job is a chain of a thousand steps
    # Guards against a scheduler that ends, or is busy for seconds, with such a job.
    Given a job of 1000 steps of 10 ms in a chain, due after 20000 ms
    Then a run of step 0 must end within 10010 ms

  Scenario: A filler serves without an end
    # Guards against services that are slowed because they count as late.
    Given a service of 1 steps that is a filler
    Then its runs have no time to end
