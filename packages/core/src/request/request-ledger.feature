Feature: request ledger

  Scenario: a result is told again
    Given a request ledger of 10 entries
    When the ledger records 1 requests and their results
    Then the ledger settles request 1 as "ended"

  Scenario: an id that was asked about is barred
    Given a request ledger of 10 entries
    When the ledger is asked about request 1
    Then the ledger settles request 1 as "never-seen"
    And the ledger refuses request 1 as "barred"

  Scenario: a forgotten id is never called unseen
    Given a request ledger of 10 entries
    When the ledger records 50 requests and their results
    Then the ledger settles request 1 as "forgotten"
    And the ledger refuses request 1 as "forgotten"
    And the ledger settles request 51 as "never-seen"

  Scenario: a result too old is dropped
    Given a request ledger of 10 entries
    When the ledger records 1 requests and their results
    And 1001 ms pass for the ledger
    Then the ledger settles request 1 as "forgotten"

  Scenario: running requests are kept whatever the bound
    Given a request ledger of 10 entries
    When the ledger records a request 99 that runs on
    And the ledger records 50 requests and their results
    Then the ledger settles request 99 as "running"

  Scenario: large results go before ids do
    Given a request ledger of 10 entries
    When the ledger records results of 600 and 600 bytes
    Then the ledger settles request 1 as "forgotten"
    And the ledger settles request 2 as "ended"

  Scenario: once series were dropped an unknown one may have been seen
    Given a request ledger of 10 entries
    When the ledger has forgotten more entries' ids than it keeps series
    Then the ledger settles an id of the first entry as "forgotten"

  Scenario: whatever the order, a seen id is never called unseen
    Given a request ledger of 10 entries
    Then no run of the ledger calls a seen id unseen, or records one twice
