@stand-in
Feature: stand-in runner

  Background:
    Given a stand-in runner with 2 slots

  Scenario: it echoes each request and notes that it ran
    When the stand-in runner is sent "r-1"
    Then the stand-in runner answers 200 with the echo of "r-1"
    And the stand-in runner's ledger has "r-1" run 1 times

  Scenario: a request that is run twice is counted twice
    When the stand-in runner is sent "r-1"
    And the stand-in runner is sent "r-1"
    Then the stand-in runner's ledger has "r-1" run 2 times

  Scenario: more requests than slots are refused and counted
    Given the stand-in runner is told '{"freeze": true}'
    When the stand-in runner has taken "r-1,r-2" and is sent "r-3"
    Then the stand-in runner answered "503"
    And the stand-in runner's ledger counts 1 violations and 2 slots

  Scenario: it cuts answers short
    Given the stand-in runner is told '{"cutAnswer": true}'
    When the stand-in runner is sent "r-1"
    Then the stand-in runner's answer is cut
    And the stand-in runner's ledger has "r-1" run 1 times

  Scenario: frozen, it runs a request and never answers
    Given the stand-in runner is told '{"freeze": true}'
    When the stand-in runner is sent "r-1" by a caller that hangs up once it has run
    Then the stand-in runner's ledger has "r-1" run 1 times

  Scenario: it fails everything
    Given the stand-in runner is told '{"failAll": true}'
    When the stand-in runner is sent "r-1"
    Then the stand-in runner answered "500"

  Scenario: a planned stop lets a request in progress end
    When the stand-in runner is sent "r-1" and stopped as planned while it runs
    Then the stand-in runner answers 200 with the echo of "r-1"

  Scenario: a crash cuts a request in progress
    Given the stand-in runner is told '{"freeze": true}'
    When the stand-in runner is sent "r-1" and crashes while it runs
    Then the stand-in runner's answer is cut
