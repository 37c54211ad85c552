Feature: Invalid settings are rejected with file, line and the closest known key

  Scenario: Unknown keys, a bad address and a missing key
    # An operator makes several mistakes in one file. All are reported at once, before
    # anything starts.
    Given a settings file with these lines
      """
      role: entry
      name: entry-1
      data_centre: caerdydd
      http: 127.0.0.1:1
      peers: somewhere
      tabel: 127.0.0.1:2
      timing:
        lease: 3
      """
    When the file is checked
    Then it is refused with "5: peers: " and "expected IP:port"
    And it is refused with "6: tabel: unknown key" and "did you mean 'table'?"
    And it is refused with "8: timing.lease: unknown key" and "did you mean 'lease_s'?"
    And it is refused with "table: " and "required"

  Scenario: A daemon would count as silent before it announces itself again
    # Guards against settings with which healthy daemons get no work.
    Given a settings file with these lines
      """
      role: entry
      name: entry-1
      data_centre: caerdydd
      http: 127.0.0.1:1
      peers: 127.0.0.1:2
      claims: 127.0.0.1:3
      table: 127.0.0.1:4
      timing:
        hold_s: 5
        silence_s: 5
      """
    When the file is checked
    Then it is refused with "10: timing.silence_s: " and "expected more than hold_s"
