Feature: What is kept of reports has a bound, which no worker meets that holds runs

  Scenario Outline: A report comes while much is kept already
    # Guards against an entry that ends of what anybody reports, and against a worker
    # that loses its runs since others have reported much.
    Given a scheduler that knows <workers> workers, one of which lists <listed> runs
    When a worker that <worker> reports <runs> runs
    Then its report is <outcome>

    Examples:
      | workers | listed | worker          | runs  | outcome |
      | 9999    | 0      | nobody knows    | 0     | taken   |
      | 10000   | 0      | nobody knows    | 0     | refused |
      | 10000   | 0      | is known        | 0     | taken   |
      | 2       | 20000  | is known        | 30000 | taken   |
      | 2       | 20001  | is known        | 30000 | refused |
      | 2       | 50000  | is known        | 0     | taken   |
      | 2       | 50000  | holds a run     | 30000 | taken   |
