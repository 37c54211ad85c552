Feature: A bad trace is refused by line and field before anything starts

  Scenario: Unsupported events, a wrong type and an unknown id
    # Guards against bad lines that are skipped silently, so that a trace that was played
    # in part seems to have been played in full.
    Given a trace with these lines
      """
      {"at": 1, "event": "link", "customer": "x", "kind": "feed", "id": "l1"}
      {"at": 1, "event": "fault", "what": "link-silent"}
      {"at": 1, "event": "request", "customer": "x", "kind": "k", "id": 7}
      {"at": 1, "event": "cancel", "id": "nothing"}
      """
    When the trace is loaded
    Then it is refused with "line 1: Invalid value 'link'" and "link is not built yet"
    And it is refused with "line 2: Invalid enum value 'link-silent'" and "worker-lost"
    And it is refused with "line 3: Expected `str`, got `int`" and "$.id"
    And it is refused with "line 4: id: got 'nothing'" and "expected a task's id"
