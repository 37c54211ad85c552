Feature: The complete system as separate processes

  Scenario: A request, a task and an edit succeed, and two processes are killed
    # Guards against a request that fails although a process that can answer it is left.
    Given a table, two entries, two upstreams and one worker as processes
    When the operator gives customer "arolwg" the plan "surveys"
    Then every daemon has lists version 2 in force
    When "arolwg" sends quote-check "q1" to entry-1
    Then the answer is 200 "answer to arolwg/q1: price of q1"
    When "arolwg" submits the task "b1" to entry-2
    Then the task "b1" of "arolwg" is finished according to entry-1
    And "explain b1" at entry-1 cites the plan "surveys"
    When the processes "instance-1" and "entry-2" are killed
    And "arolwg" sends quote-check "q2" to entry-1
    Then the answer is 200 "answer to arolwg/q2: price of q2"
    When the operator removes the plan of customer "arolwg"
    And "arolwg" sends quote-check "q3" to entry-1
    Then the answer is 403 and contains "plans@3: no line for arolwg"
