Feature: membership

  Scenario: a lower sequence never overrides
    Given an upstream directory
    When guard "g1" announces "r1" draining with sequence 5
    And guard "g1" announces "r1" ready with sequence 4
    Then the directory's "r1" is draining

  Scenario: an older incarnation never overrides
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 9
    And guard "g1" restarts and announces "r1" draining with sequence 1
    And the older guard "g1" announces "r1" ready with sequence 10
    Then the announcement is refused with "conflict"
    And the directory's "r1" is draining

  Scenario: an old link doesn't take a guard back
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And guard "g1" restarts and announces "r1" ready with sequence 1
    And the older guard "g1" links again
    Then the directory's link to "g1" is the newer guard's

  Scenario: a lost link isn't leaving
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And the directory's link to "g1" is lost
    And the directory looks for silence after 9 s
    Then the directory lists "r1"
    But the directory has no link to "g1"

  Scenario: silence is leaving
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And the directory looks for silence after 10 s
    Then the directory lists nothing
    And the directory told "joined, left"

  Scenario: a withdrawn upstream leaves at once
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And guard "g1" announces "r1" withdrawn with sequence 2
    Then the directory lists nothing

  Scenario: a late announcement doesn't bring a withdrawn upstream back
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And guard "g1" announces "r1" withdrawn with sequence 3
    And guard "g1" announces "r1" ready with sequence 2
    Then the directory lists nothing

  Scenario: a guard speaks for itself only
    Given an upstream directory
    When guard "g1" announces "r1" in the name of "g2"
    Then the announcement is refused with "not-allowed"

  Scenario: a draining runner takes no new requests
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And guard "g1" announces "r1" draining with sequence 2
    Then the directory has no runner for "book"

  Scenario: two guards can't speak for one upstream
    Given an upstream directory
    When guard "g1" announces "r1" ready with sequence 1
    And another guard "g2" announces "r1"
    Then the announcement is refused with "conflict"
    When the directory's link to "g1" is lost
    And another guard "g2" announces "r1"
    Then the directory's "r1" is spoken for by "g2"
