Feature: Daemons that start together find one another

  Scenario: 200 daemons start at the same moment
    # Guards against daemons that all write to one part of the table, time out while it
    # still executes their writes, and write again without end.
    Given a table that executes 150 transactions a second in each part
    When 40 entries and 160 workers for jobs start at the same moment
    Then all entries and workers are known within 3 s
    And the directory has cost at most 2 calls for each daemon

  Scenario: An entry finds its row as it would write it
    # Guards against as many writes as entries after each loss of power.
    Given two entries and 1 workers for jobs
    And 5 s pass
    When entry-2 is killed and restarted after 1 s
    And 5 s pass
    Then the row of entry-2 in the directory was written once

  Scenario: An entry finds a row that it cannot read
    # Guards against an entry that ends because of a row of another version.
    Given two entries and 1 workers for jobs
    And the row of entry-2 in the directory is unreadable
    When entry-2 is killed and restarted after 1 s
    And 5 s pass
    Then the directory of entry-1 contains entry-2
