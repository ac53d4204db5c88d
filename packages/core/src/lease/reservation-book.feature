Feature: reservation book

  Scenario: an accelerator has one reservation
    Given a reservation book of 4 accelerators
    When the book reserves "0,1" for "a"
    Then the book refuses "1,2" for "b" as "conflict"

  Scenario: a repeated reserve answers the same
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book reserves "0" for "a"
    Then the book holds 1 reservations

  Scenario: a reserve of another incarnation is refused
    Given a reservation book of 4 accelerators
    When the book's orders are for an earlier incarnation
    Then the book refuses "0" for "a" as "stale-term"

  Scenario: a lower term is told the highest
    Given a reservation book of 4 accelerators
    When the book has seen term 7
    Then the book refuses "0" for "a" at term 6 as "stale-term", and tells 7

  Scenario: a stop comes before its reserve
    Given a reservation book of 4 accelerators
    When the book stops "a"
    Then the book's stop said "never-started"
    And the book refuses "0" for "a" as "conflict"

  Scenario: an expired reservation can't start
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book has "a" ready
    And 1000 ms pass for the book
    Then the book refuses to start "a"

  Scenario: what wasn't started in time is stopped and never started
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book has "a" ready
    And 1000 ms pass for the book
    And the book lets go of what is due
    Then the book wants "a" stopped
    And the book's end of "a", told as "stopped", is "never-started"

  Scenario: a start that took too long is to be stopped
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book has "a" ready
    And the book starts "a", which takes 1000 ms
    Then the book wants "a" stopped
    And the book's end of "a", told as "stopped", is "stopped"

  Scenario: a second refusal doesn't prove that nothing started
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book has "a" ready
    And the book's start of "a" is lost, and repeated, and refused
    Then the book's end of "a", told as "lease-lapsed", is "lease-lapsed"

  Scenario: an end that was acknowledged is no longer vouched for
    Given a reservation book of 4 accelerators
    When the book reserves "0" for "a"
    And the book has "a" ready
    And the book starts "a", which takes 1 ms
    And the book's end of "a", told as "succeeded", is "succeeded"
    And the book forgets "a"
    And the book stops "a"
    Then the book's stop said "lease-lapsed"
    And the book refuses "0" for "a" as "conflict"

  Scenario: a claim's capacity is used only within it
    Given a reservation book of 4 accelerators
    When the book holds "0,1" for claim "c"
    Then the book refuses "0" for "a" as "conflict"
    And the book reserves "0" for "b" within "c"
    And the book refuses "2" for "d" within "c" as "conflict"
    And the book refuses "0" for "e" within "c" as "conflict"

  Scenario: a lapsed claim can be held again around its tasks
    Given a reservation book of 4 accelerators
    When the book holds "0,1" for claim "c"
    And the book reserves "0" for "b" within "c"
    And the book has "b" ready
    And the book starts "b", which takes 1 ms
    And 1000 ms pass for the book
    And the book lets go of what is due
    Then the book refuses "0" for "a" as "conflict"
    And the book holds "0,1" for claim "c"

  Scenario: whatever the orders, no accelerator is given twice
    Given a reservation book of 4 accelerators
    Then no run of the book's orders gives an accelerator twice or starts an attempt again
