Feature: Daemons that start together find one another

  Scenario: 200 daemons start at the same moment
    # Guards against daemons that all write to one part of the table, time out while it
    # still executes their writes, and write again without end.
    Given a table that executes 150 transactions a second in each part
    When 40 entries and 160 workers for jobs start at the same moment
    Then all entries and workers are known within 3 s
    And the directory has cost at most 2 calls for each daemon
