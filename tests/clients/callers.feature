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

  Scenario: A body holds more steps than any job
    # Guards against building each of millions of steps before they are counted.
    When 1 client sends a job of 2600000 empty steps at "callers"
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Many bodies hold more steps than any job
    # Guards against a process that is busy with refusing, and against its memory.
    When 200 clients send a job of 15000 empty steps at "callers"
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Many bodies hold nearly as many steps as any job may
    # Guards against decoded jobs that are held together until they are refused.
    When 200 clients send a job of 9000 empty steps at "callers"
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Many bodies as large as any that is accepted come at once
    # Guards against a limit of each body that is none for their sum.
    When 250 clients announce a body of 0.25 MB at "callers" and withhold its last byte
    Then a request at "callers" is answered, and the process is within 160 MB

  Scenario: Requests follow each other on a connection and no answer is read
    # Guards against answers that are kept for those who read none.
    When 200 clients send 2000 requests each at "callers" and read no answer
    Then a request at "callers" is answered, and the process is within 160 MB
