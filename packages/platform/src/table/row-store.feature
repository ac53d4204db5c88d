Feature: row store

  Background:
    Given a row store

  Scenario: a transaction with one stale version changes nothing
    When the row store is written "w1" with "a@0=1"
    And the row store is written "w2" with "b@0=1 a@7=2"
    Then the row store returns "conflict"
    And the row store holds "a"

  Scenario: a repeated write id gets its first outcome and changes nothing
    When the row store is written "w1" with "a@0=1"
    And the row store is written "w1" with "a@0=1"
    Then the row store returns "written"
    And the row store has "a" at version 1

  Scenario: a write that conflicted never takes effect later
    When the row store is written "w1" with "a@0=1"
    And the row store is written "w2" with "a@0=2"
    And the row store is written "w3" with "a@1=null"
    And the row store is written "w2" with "a@0=2"
    Then the row store returns "conflict"
    And the row store holds ""

  Scenario: querying the outcome of a write that hasn't arrived cancels it
    When the row store is queried for the outcome of "w1"
    And the row store is written "w1" with "a@0=1"
    Then the row store returns "cancelled"
    And the row store holds ""

  Scenario: a recreated row doesn't repeat a version
    When the row store is written "w1" with "a@0=1"
    And the row store is written "w2" with "a@1=null"
    And the row store is written "w3" with "a@0=1"
    Then the row store has "a" at version 2

  Scenario: a scan pages through its prefix in key order
    When the row store is written "w1" with "p/b@0=1 q@0=1 p/a@0=1 p/c@0=1 o@0=1"
    Then a scan of the row store for "p/" after "" finds "p/a,p/b" of 2
    And a scan of the row store for "p/" after "p/b" finds "p/c" of 2
