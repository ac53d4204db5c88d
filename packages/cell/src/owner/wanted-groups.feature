Feature: what waits for room, and for which

  Scenario: a gang that is slow on two racks waits for one while the service is busy
    Given a gang expected to take 5 s that has waited 3 s for its rack
    Then it wants one rack while the service is busy
    And it takes any racks while most of the service is idle
    And it takes any racks as a claim

  Scenario: it doesn't wait longer than the other racks would cost
    Given a gang expected to take 5 s that has waited 11 s for its rack
    Then it takes any racks while the service is busy
