Feature: Fillers beside services with a latency target

  Scenario: A filler finds no worker where it would not press
    # Guards against a filler that waits for a better place until its caller takes it for lost.
    Given two entries and 2 workers for jobs
    When a service of 2 tasks near its latency target is handed in at entry-1
    And 3 s pass
    And the filling job "f" of 2 tasks of 1 s is handed in at entry-1
    And 3 s pass
    Then a task of "f" was started

  Scenario: A service over its target has all fillers stopped in time
    # Guards against fillers that work on beside a service over its target, thought harmless.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks over its latency target is handed in at entry-1
    And the filling job "f" of 2 tasks of 30 s is handed in at entry-1
    And 8 s pass
    Then every filler of "f" works at 0 percent

  Scenario: What was learned outlasts a loss of power
    # Guards against builds that wait until each pair of images has been tried anew.
    Given two entries and 1 workers for jobs
    When a service of 1 tasks far below its latency target is handed in at entry-1
    And 4 s pass
    And the filling job "f" of 2 tasks of 30 s is handed in at entry-1
    And 8 s pass
    And every daemon is killed and started anew
    And 2 s pass
    Then the scheduler knows how "fill" presses on "svc"

  Scenario: Services of several images leave whole workers to fillers
    # Guards against services spread over all workers by image, beside which builds crawl.
    Given two entries and 4 workers for jobs
    When the service "p" of image "one" that takes 3000 of 8000 is handed in
    And the service "q" of image "two" that takes 3000 of 8000 is handed in
    And 2 s pass
    Then 3 workers run no service
    When the filling job "f" of image "new" with 8 tasks of 20 s is handed in
    And 2 s pass
    Then the tasks of "f" run where no service does

  Scenario: A filler known as harmless leaves the worker without services to others
    # Guards against light builds on the only places where those that press can work.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that takes 5000 of 8000 is handed in
    And the service "q" of image "one" that takes 5000 of 8000 is handed in
    And 4 s pass
    And the filling job "a" of image "mild" with 2 tasks of 6 s is handed in
    And 15 s pass
    And the job "q" is cancelled at entry-1 with status 200
    And 1 s pass
    And the filling job "b" of image "mild" with 2 tasks of 30 s is handed in
    And 2 s pass
    Then the tasks of "b" run beside services
    When the filling job "c" of image "new" with 3 tasks of 30 s is handed in
    And 2 s pass
    Then the tasks of "c" run where no service does

  Scenario: Services that are left on two workers move together for waiting fillers
    # Guards against builds that wait while each worker has one of few services left.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that takes 6000 of 8000 is handed in
    And the service "q" of image "two" that takes 1000 of 8000 is handed in
    And the service "r" of image "one" that takes 4000 of 8000 is handed in
    And 3 s pass
    And the job "p" is cancelled at entry-1 with status 200
    And 1 s pass
    Then 0 workers run no service
    When the filling job "f" of image "new" with 24 tasks of 20 s is handed in
    And 5 s pass
    Then 1 workers run no service
    And no task ran twice at a time or after its end

  Scenario: A service that only its worker may run stays there
    # Guards against a service stopped to move that then has no ticket for elsewhere.
    Given two entries and 2 workers for jobs
    When the service "p" of image "one" that takes 6000 of 8000 is handed in
    And the service "q" of image "two" that takes 1000 of 8000 is handed in
    And the service "r" of image "one" that takes 4000 of 8000 is handed in
    And 3 s pass
    And the job "p" is cancelled at entry-1 with status 200
    And the policy comes to allow only worker-1
    And the filling job "f" of image "new" with 24 tasks of 20 s is handed in
    And 5 s pass
    Then the task of "q" was started 1 times
    And the task of "r" was started 1 times

  Scenario: Services that fill half of a worker are not mixed with those of other images
    # Guards against workers with services of many images, some of which each filler presses on.
    Given two entries and 3 workers for jobs
    When the service "p" of image "one" that takes 3000 of 8000 is handed in
    And the service "q" of image "two" that takes 5000 of 8000 is handed in
    And 2 s pass
    Then 1 workers run no service
