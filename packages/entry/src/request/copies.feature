@request-copies
Feature: copies of requests

  Scenario: an idempotent request at a silent runner goes to another
    Given a request router over runners "r1, r2"
    When request "match" is routed and its runner falls silent for 500 ms
    Then the routed request has a copy at the other runner
    When the routed request's copy is answered "proof"
    Then the routed request ends with "proof"
    And the routed request's first guard is told to cancel it

  Scenario: a runner's slowness is learned from what was cancelled there
    Given a request router over runners "r1, r2"
    When request "match" is routed and its runner falls silent for 500 ms
    And the routed request's copy is answered "proof"
    Then the routed request ends with "proof"
    And its first runner is noted as "abandoned" after 500 ms

  Scenario: a copy that answers first is noted as won
    Given a request router over runners "r1, r2"
    When request "match" is routed and its runner falls silent for 500 ms
    And the routed request's copy is answered "proof"
    Then the routed request ends with "proof"
    And the copies of "match" are noted as won: "true"

  Scenario: a copy that answers second is noted as lost
    Given a request router over runners "r1, r2"
    When request "match" is routed and its runner falls silent for 500 ms
    And the routed request has a copy at the other runner
    And the routed request's first attempt is answered "proof"
    Then the routed request ends with "proof"
    And the copies of "match" are noted as won: "false"

  Scenario: a request without a copy says nothing of copies
    Given a request router over runners "r1, r2"
    When request "match" is routed
    And the routed request's first attempt is answered "proof"
    Then the routed request ends with "proof"
    And the copies of "match" are noted as won: ""

  Scenario: without a budget a request at a silent runner isn't copied
    Given a request router over runners "r1, r2" with a retry budget of 0
    When request "match" is routed and its runner falls silent for 500 ms
    And the routed request's first attempt is answered "proof"
    Then the routed request ends with "proof"
    And the routed request was sent once

  Scenario: a non-idempotent request at a silent runner waits for its answer
    Given a request router over runners "r1, r2"
    When request "book" is routed and its runner falls silent for 500 ms
    And the routed request's first attempt is answered "booked"
    Then the routed request ends with "booked"
    And the routed request was sent once

  Scenario: a non-idempotent request at a silent runner is unknown at its deadline
    Given a request router over runners "r1, r2"
    When request "book" is routed and its runner falls silent for 500 ms
    And the deadline of the routed request passes
    Then the routed request fails with "deadline-passed", ran "unknown"
    And the routed request was sent once

  Scenario: a non-idempotent request at a silent runner is unknown once its guard has restarted
    Given a request router over runners "r1, r2"
    When request "book" is routed and its runner falls silent for 500 ms
    And the routed request's guard comes back as another incarnation
    Then the routed request fails with "upstream-lost", ran "unknown"
    And the routed request was sent once

  Scenario: a non-idempotent request at a silent runner is settled over the guard's next link
    Given a request router over runners "r1, r2"
    When request "book" is routed and its runner falls silent for 500 ms
    And the routed request's guard is linked again and says that it ended with "booked"
    Then the routed request ends with "booked"
    And the routed request was sent once

  Scenario: when copies fail the end that leaves most open counts
    Given a request router over runners "r1, r2"
    When request "match" is routed and its runner falls silent for 500 ms
    And the routed request has a copy at the other runner
    And the routed request's copy is refused as "overloaded"
    And the routed request's first attempt is refused as "upstream-failed" after it ran
    Then the routed request fails with "upstream-failed", ran "ran"

  Scenario: a kind whose copies never win is copied rarely
    Given a request router over runners "r1, r2"
    When 100 copies of "match" were answered second
    Then the router may copy 2 of 20 requests for "match"

  Scenario: each runner's slots count once, whatever its kinds
    Given a request router over runners "r1, r2"
    Then the router's runners can carry 48 requests
