Feature: Many rows are read in pages as large as the link allows

  Scenario: A slow link
    # Guards against pages that other messages on the link wait for.
    Given a table of 400 rows that arrive at 100 rows a second
    When all rows are read
    Then each row has arrived once
    And no page after the first takes longer than 0.4 s

  Scenario: A fast link
    # Guards against hundreds of small pages, each of which costs a call.
    Given a table of 4000 rows that arrive at 100000 rows a second
    When all rows are read
    Then each row has arrived once
    And at most 14 pages were requested

  Scenario: The link becomes slow
    Given a table of 4000 rows that arrive at 20000 rows a second
    And rows after the first 2000 arrive at 200 rows a second
    When all rows are read
    Then each row has arrived once
    And at most 2 pages take longer than 0.4 s

  Scenario: Some pages fail
    # Guards against a read that begins anew after each failure.
    Given a table of 400 rows that arrive at 1000 rows a second
    And each third page fails
    When all rows are read
    Then each row has arrived once
    And at most 800 rows were sent
