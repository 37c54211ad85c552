Feature: Callers outside the limits end no entry and keep no other caller out

  Background:
    Given an entry process with 300 descriptors

  Scenario: Large bodies are announced and not ended
    # Guards against memory that grows with the bodies that are not complete.
    When 60 clients announce a body of 8 MB at "callers" and withhold its last byte
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Large bodies in chunks are not ended
    # Guards against a limit that holds for announced lengths only.
    When 60 clients send 8 MB in chunks at "callers" and no last chunk
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Huge bodies are announced
    # Guards against keeping what is sent of a body that can only be refused.
    When 60 clients announce a body of 4000 MB at "callers" and send 9 MB
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Many bodies as large as any that is accepted come at once
    # Guards against a limit of each body that is none for their sum.
    When 250 clients announce a body of 0.25 MB at "callers" and withhold its last byte
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Requests follow each other on a connection and no answer is read
    # Guards against answers that are kept for those who read none.
    When 200 clients send 2000 requests each at "callers" and read no answer
    Then a request at "callers" is answered, and the process is within 160 MB
