Feature: Attendants are told of pressures as far as they need them

  Background:
    Given pressures of 30 images of fillers on 16 of services

  Scenario: A worker with two services
    # Guards against replies that contain all pairs of images, once a second.
    When an attendant beside 2 services reports
    Then the reply contains 60 pressures
    And the next reply contains 0 pressures

  Scenario: One pressure has changed
    When an attendant beside 2 services reports
    And the pressure of a filler on its first service rises by 0.01
    Then the next reply contains 0 pressures
    When the pressure of a filler on its first service rises by 3
    Then the next reply contains 1 pressures

  Scenario: There is more to tell than one message holds
    # Guards against a reply that is refused for its size, and the lease with it.
    Given pressures of 300 images of fillers on 16 of services
    When an attendant beside 16 services reports
    Then no reply is larger than 50000 bytes
    And after 10 replies the attendant has all 4800 pressures

  Scenario: Another entry has taken over, with more than one message holds
    # Guards against pairs that a new attendant never learns of.
    Given pressures of 300 images of fillers on 16 of services
    And another scheduler restores the pressures
    When an attendant beside 16 services reports
    Then no reply is larger than 50000 bytes
    And after 10 replies the attendant has all 4800 pressures

  Scenario: Releases of images come and go
    # Guards against what is remembered of images that nobody runs any more.
    When 50 times the images of the fillers are replaced by a later release
    Then 480 pairs are remembered

  Scenario: A reply does not arrive
    # Guards against changes that an attendant never learns of.
    When an attendant beside 2 services reports
    And the reply does not arrive
    Then the next reply contains 60 pressures

  Scenario: Another service starts on the worker
    When an attendant beside 2 services reports
    And another service starts beside it
    Then the next reply contains 30 pressures

  Scenario: Another entry has taken over
    # Guards against a take-over that sends all pressures to all attendants.
    When an attendant beside 2 services reports
    And another scheduler restores the pressures
    Then the next reply contains 0 pressures
    When the attendant restarts
    Then the next reply contains 60 pressures

  Scenario: An observer has nothing more to say of a pair
    # Guards against rounding errors that remain as an estimate.
    When the only observer of the pressures replaces them by none
    Then no pressure is known

  Scenario: A worker has learned something new
    # Guards against workers that wait for seconds for what another one has learned.
    Given an attendant that has reported the pressures it learned
    Then its next report contains no pressures
    When it learns of another pressure
    Then its next report contains 2 pressures

  Scenario: A report does not arrive
    Given an attendant that has reported the pressures it learned
    When it learns of another pressure
    And its report is not answered
    Then its next report contains 2 pressures

  Scenario: Another scheduler answers a report without pressures
    Given an attendant that has reported the pressures it learned
    When another scheduler answers its next report
    Then its next report contains 1 pressures

  Scenario: A service starts of which nothing is known
    # Guards against fillers that harm a service until the next regular report.
    Given an attendant that has reported the pressures it learned
    Then it asks for the pressures on a new service at once
