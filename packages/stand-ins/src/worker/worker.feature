@stand-in
Feature: stand-in worker

  Background:
    Given a stand-in worker

  Scenario: a task's life is told by its events
    When the stand-in worker prepares task "a" on accelerators 0,1
    Then the stand-in worker tells of "a" as "ready"
    When the stand-in worker is asked to "start" task "a"
    Then the stand-in worker tells of "a" as "succeeded"
    And the stand-in worker's ledger has "a" started 1 times

  Scenario: repeated orders change nothing
    When the stand-in worker prepares task "a" on accelerators 0,1
    And the stand-in worker prepares task "a" on accelerators 0,1
    Then the stand-in worker answers 201
    And the stand-in worker tells of "a" as "ready"
    When the stand-in worker is asked to "start" task "a"
    And the stand-in worker is asked to "start" task "a"
    Then the stand-in worker's ledger has "a" started 1 times

  Scenario: overlapping accelerators are refused and counted
    When the stand-in worker prepares task "a" on accelerators 0,1
    And the stand-in worker prepares task "b" on accelerators 1,2
    Then the stand-in worker answers 409
    And the stand-in worker's ledger counts 1 violations

  Scenario: accelerators of an ended task are free
    When the stand-in worker prepares task "a" on accelerators 0,1
    And the stand-in worker is asked to "stop" task "a"
    And the stand-in worker prepares task "b" on accelerators 1,2
    Then the stand-in worker answers 201
    And the stand-in worker's ledger counts 0 violations

  Scenario: it fails every task while looking healthy
    Given the stand-in worker is told '{"failAll": true}'
    When the stand-in worker prepares task "a" on accelerators 0,1
    And the stand-in worker tells of "a" as "ready"
    And the stand-in worker is asked to "start" task "a"
    Then the stand-in worker tells of "a" as "failed"

  Scenario: it refuses checkpoints
    Given the stand-in worker is told '{"refuseCheckpoint": true, "lie": 1000}'
    When the stand-in worker prepares task "a" on accelerators 0,1
    And the stand-in worker tells of "a" as "ready"
    And the stand-in worker is asked to "start" task "a"
    And the stand-in worker is asked to "checkpoint" task "a"
    Then the stand-in worker answers 409
    Given the stand-in worker is told '{}'
    When the stand-in worker is asked to "checkpoint" task "a"
    Then the stand-in worker answers 200

  Scenario: it announces itself and withdraws
    Then the stand-in worker has announced itself to its guard
    When the stand-in worker stops as planned
    Then the stand-in worker has withdrawn from its guard
