Feature: Fillers beside services with a latency target

  Scenario: A filler finds no worker without interference
    # Guards against a filler that waits for a better place until its caller considers
    # it lost.
    Given two entries and 2 workers for jobs
    When a service of 2 tasks near its latency target is submitted at entry-1
    And 3 s pass
    And the filler job "f" of 2 tasks of 1 s is submitted at entry-1
    And 3 s pass
    Then a task of "f" was started

  Scenario: Fillers beside a service over its target are suspended
    # Guards against fillers considered harmless that keep running beside a service over
    # its target.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks over its latency target is submitted at entry-1
    And the filler job "f" of 2 tasks of 30 s is submitted at entry-1
    And 8 s pass
    Then every filler of "f" runs at 0 percent

  Scenario: Learned pressures survive a loss of power
    # Guards against builds that wait until the pressure of each pair of images is
    # learned again.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks far below its latency target is submitted at entry-1
    And 4 s pass
    And the filler job "f" of 2 tasks of 30 s is submitted at entry-1
    And 8 s pass
    And every daemon is killed and restarted
    And 2 s pass
    Then the scheduler knows the pressure of "fill" on "svc"

  Scenario: Services of several images are packed, which leaves whole workers to fillers
    # Guards against services spread over all workers by image, beside which builds run
    # slowly.
    Given two entries and 4 workers for jobs
    When the service "p" of image "one" that reserves 3000 of 8000 millicores is submitted
    And the service "q" of image "two" that reserves 3000 of 8000 millicores is submitted
    And 2 s pass
    Then 3 workers run no service
    When the filler job "f" of image "new" with 8 tasks of 20 s is submitted
    And 2 s pass
    Then the tasks of "f" run on workers without services

  Scenario: A harmless filler leaves workers without services to other fillers
    # Guards against light builds that occupy the only workers on which heavy builds can
    # run.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that reserves 5000 of 8000 millicores is submitted
    And the service "q" of image "one" that reserves 5000 of 8000 millicores is submitted
    And 4 s pass
    And the filler job "a" of image "mild" with 2 tasks of 6 s is submitted
    And 15 s pass
    And the job "q" is cancelled at entry-1 with status 200
    And 1 s pass
    And the filler job "b" of image "mild" with 2 tasks of 30 s is submitted
    And 2 s pass
    Then the tasks of "b" run beside services
    When the filler job "c" of image "new" with 3 tasks of 30 s is submitted
    And 2 s pass
    Then the tasks of "c" run on workers without services

  Scenario: Services left on two workers are consolidated for waiting fillers
    # Guards against builds that wait while each worker runs one of a few remaining
    # services.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that reserves 6000 of 8000 millicores is submitted
    And the service "q" of image "two" that reserves 1000 of 8000 millicores is submitted
    And the service "r" of image "one" that reserves 4000 of 8000 millicores is submitted
    And 3 s pass
    And the job "p" is cancelled at entry-1 with status 200
    And 1 s pass
    Then 0 workers run no service
    When the filler job "f" of image "new" with 24 tasks of 20 s is submitted
    And 5 s pass
    Then 1 workers run no service
    And no task ran twice at the same time or after its end

  Scenario: A service that no other worker may run is not moved
    # Guards against a service that is stopped to be moved and has no ticket for another
    # worker.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that reserves 6000 of 8000 millicores is submitted
    And the service "q" of image "two" that reserves 1000 of 8000 millicores is submitted
    And the service "r" of image "one" that reserves 4000 of 8000 millicores is submitted
    And 3 s pass
    And the job "p" is cancelled at entry-1 with status 200
    And the policy changes to allow only worker-1
    And the filler job "f" of image "new" with 24 tasks of 20 s is submitted
    And 5 s pass
    Then the task of "q" was started 1 times
    And the task of "r" was started 1 times

  Scenario: Services that fill half of a worker are not mixed with those of other images
    # Guards against workers with services of so many images that every filler
    # interferes with some of them.
    Given two entries and 3 workers for jobs
    When the service "p" of image "one" that reserves 3000 of 8000 millicores is submitted
    And the service "q" of image "two" that reserves 5000 of 8000 millicores is submitted
    And 2 s pass
    Then 1 workers run no service

  Scenario: Many fillers start at once beside a service
    # Guards against speed limits that are sent again while they are not answered yet,
    # some 5000 for 100 fillers.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks far below its latency target is submitted at entry-1
    And 2 s pass
    And the filler job "f" of 100 tasks that need 70 millicores is submitted
    And 4 s pass
    Then worker-1 was sent at most 200 speed limits
    And every filler of "f" runs at 100 percent

  Scenario: The tasks of a filler job have stalled on all workers
    # Guards against a job that runs one task at a time, as it avoids every worker.
    Given two entries and 2 workers for jobs
    And tasks on worker-1's VM make no progress
    And tasks on worker-2's VM make no progress
    When the filler job "a" of 8 tasks of 4 s is submitted at entry-1
    And 8 s pass
    And tasks on worker-1's VM make progress again
    And tasks on worker-2's VM make progress again
    Then the job "a" is "completed" within 10 s
