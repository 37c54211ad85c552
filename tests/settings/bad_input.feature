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

  Scenario: A deployment has no settings for overload, or wrong ones
    # Guards against entries that do not start where a template has nothing to fill in,
    # and against a misspelt order that is taken for the default.
    Given a settings file with these lines
      """
      role: job-entry
      name: entry-1
      data_centre: caerdydd
      callers: 127.0.0.1:1
      readiness: 127.0.0.1:2
      peers: 127.0.0.1:3
      table: 127.0.0.1:4
      overload:
      """
    Then the file is accepted with jobs in the order "deadline"
    Given a settings file with these lines
      """
      role: job-entry
      name: entry-1
      data_centre: caerdydd
      callers: 127.0.0.1:1
      readiness: 127.0.0.1:2
      peers: 127.0.0.1:3
      table: 127.0.0.1:4
      overload: {"order": "least", "admission": "useful"}
      """
    When the file is checked
    Then it is refused with "8: overload.order: " and "'deadline' or 'least-cost'"

  Scenario: A deployment names no limits of its machines, or wrong ones
    # Guards against daemons that do not start where a template has nothing to fill in,
    # and against limits that no request could meet.
    Given a settings file with these lines
      """
      role: job-attendant
      name: side-1
      data_centre: caerdydd
      heartbeats: 127.0.0.1:1
      peers: 127.0.0.1:3
      table: 127.0.0.1:4
      limits:
        memory_mb:
        descriptors:
      """
    Then the file is accepted with 128 MB
    Given a settings file with these lines
      """
      role: job-attendant
      name: side-1
      data_centre: caerdydd
      heartbeats: 127.0.0.1:1
      peers: 127.0.0.1:3
      table: 127.0.0.1:4
      limits:
        memory_mb: -1
        descriptors: 0
        job_mb: 3
      """
    When the file is checked
    Then it is refused with "8: limits.memory_mb: " and "greater than 0"
    And it is refused with "9: limits.descriptors: " and "greater than 0"
    And it is refused with "10: limits.job_mb: unknown key" and "did you mean 'job_kb'?"
