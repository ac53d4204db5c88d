@table-client
Feature: table client

  Background:
    Given a table client of a scripted store

  Scenario Outline: a write under faults
    Given the scripted store handles writes with "<faults>"
    When the table client writes a row
    Then the result of the table client's write is "<result>"
    And the scripted store has the row at version <version>
    And every attempt of the table client had the same write id

    Examples: the write took effect, or did not, or the client queries its outcome
      | faults                                    | result  | version |
      | serve                                     | written | 1       |
      | drop-response                             | written | 1       |
      | unavailable,drop-response                 | written | 1       |
      | fail                                      | written | 1       |
      | drop-response,drop-response,drop-response | written | 1       |
      | unavailable,unavailable,unavailable       | not-run | 0       |
      | drop-request,drop-request,drop-request    | not-run | 0       |
      | drop-request,unavailable,unavailable      | not-run | 0       |

  Scenario: the reported result of a write is true under every combination of faults
    When the table client writes under every sequence of three faults and every fault of the outcome query
    Then every write reported as written took effect
    And no write reported as not-run took effect, then or later
    And each result occurred

  Scenario: a write that arrives after its outcome was queried has no effect
    Given the scripted store handles writes with "hold,drop-request,drop-request"
    When the table client writes a row
    And the held writes reach the scripted store
    Then the result of the table client's write is "not-run"
    And the scripted store has the row at version 0

  Scenario: a write whose outcome can't be queried is unknown
    Given a table client with a call timeout of 400 ms
    And the scripted store handles writes with "drop-response,drop-response,drop-response"
    And the scripted store handles outcome queries with "drop-request"
    When the table client writes a row
    Then the result of the table client's write is "unknown"
    And the table client's error has a retry delay

  Scenario: a write that was refused in every attempt needs no query of its outcome
    Given the scripted store handles writes with "unavailable,unavailable,unavailable"
    And the scripted store handles outcome queries with "drop-request"
    When the table client writes a row
    Then the result of the table client's write is "not-run"

  Scenario: a write with a stale version conflicts
    When the table client writes a row
    And the table client writes a row
    Then the result of the table client's write is "conflict"

  Scenario: a failed read is retried
    Given the scripted store handles reads with "unavailable,drop-request"
    When the table client reads a row
    Then the table client's read finds version 0

  Scenario: a transaction that writes a row twice isn't sent
    When the table client writes the same row twice at once
    Then the result of the table client's write is "bad-input"
    And the scripted store received 0 calls

  Scenario: calls don't pile up on a store that hangs
    Given a table client with room for 2 concurrent calls and 1 queued
    And the scripted store handles reads with "hold,hold,hold,hold,hold,hold,hold,hold"
    When the table client starts 4 reads
    Then the table client rejects the last read before the others end
    And all reads of the table client fail with "store-unavailable"

  Scenario: calls to a store that keeps failing are rejected without an attempt
    Given a table client whose circuit breaker opens after 2 failures
    And the scripted store handles writes with "unavailable,unavailable"
    When the table client writes a row
    And the table client writes a row
    Then the result of the table client's write is "not-run"
    And the scripted store received 2 calls
    And the table client's error has a retry delay

  Scenario: a queued write is rejected once the circuit breaker opens
    Given a table client with room for 1 concurrent calls whose circuit breaker opens after 1 failures
    And the scripted store handles writes with "hold"
    And the scripted store handles outcome queries with "hold"
    When the table client starts 2 writes
    Then the table client rejects the second write first because its last calls failed

  Scenario: a write to a store that refuses connections is not run
    Given the scripted store is closed
    When the table client writes a row
    Then the result of the table client's write is "not-run"
