@listen
Feature: listening on an address from the settings

  Scenario: an address in use is reported with a remedy
    Given a listener on a free loopback address
    When another listener is started on the same address
    Then the second listener is refused with the address and a remedy
