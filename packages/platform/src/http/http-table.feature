@table-client
Feature: table client

  Background:
    Given a table client of a scripted store

  Scenario Outline: a write under faults
    Given the scripted store meets writes with "<faults>"
    When the table client writes a row
    Then the table client's write ends as "<end>"
    And the scripted store has the row at version <version>
    And every attempt of the table client bore the same write id

    Examples: the store acts, or surely doesn't, or the client can settle which
      | faults         | end     | version |
      | serve          | written | 1       |
      | lose           | written | 1       |
      | down,lose      | written | 1       |
      | fail           | written | 1       |
      | lose,lose,lose | written | 1       |
      | down,down,down | not-run | 0       |
      | cut,cut,cut    | not-run | 0       |
      | cut,down,down  | not-run | 0       |

  Scenario: whatever befalls a write, its end is true
    When the table client writes under every three faults in a row and every fault of settling
    Then every write that ended as written is there
    And no write that ended as not-run is there, or arrives later
    And each end was seen

  Scenario: a write that arrives after it was settled has no effect
    Given the scripted store meets writes with "hold,cut,cut"
    When the table client writes a row
    And the scripted store's held writes arrive
    Then the table client's write ends as "not-run"
    And the scripted store has the row at version 0

  Scenario: a write that can't be settled is unknown
    Given a table client that gives up after 400 ms
    And the scripted store meets writes with "lose,lose,lose"
    And the scripted store meets settling with "cut"
    When the table client writes a row
    Then the table client's write ends as "unknown"
    And the table client tells when to come back

  Scenario: a write that was only ever refused needs no settling
    Given the scripted store meets writes with "down,down,down"
    And the scripted store meets settling with "cut"
    When the table client writes a row
    Then the table client's write ends as "not-run"

  Scenario: a stale write gets the row as it stands
    When the table client writes a row
    And the table client writes a row
    Then the table client's write ends as "conflict"

  Scenario: a read is repeated
    Given the scripted store meets reads with "down,cut"
    When the table client reads a row
    Then the table client's read finds version 0

  Scenario: a transaction of the same row twice isn't sent
    When the table client writes the same row twice at once
    Then the table client's write ends as "bad-input"
    And the scripted store got 0 calls

  Scenario: calls don't pile up on a store that hangs
    Given a table client with room for 2 calls and 1 waiting
    And the scripted store meets reads with "hold,hold,hold,hold,hold,hold,hold,hold"
    When the table client starts 4 reads
    Then the table client refuses one of them before the others end
    And the table client's reads all end as "store-unavailable"

  Scenario: a store that keeps failing is left alone
    Given a table client that leaves a store alone after 2 failures
    And the scripted store meets writes with "down,down"
    When the table client writes a row
    And the table client writes a row
    Then the table client's write ends as "not-run"
    And the scripted store got 2 calls
    And the table client tells when to come back

  Scenario: a write that waits for its turn is given up once the store is seen to fail
    Given a table client with room for 1 calls that leaves a store alone after 1 failures
    And the scripted store meets writes with "hold"
    And the scripted store meets settling with "hold"
    When the table client starts 2 writes
    Then the table client ends the second first, as its last calls failed

  Scenario: a store that isn't there surely did nothing
    Given the scripted store is gone
    When the table client writes a row
    Then the table client's write ends as "not-run"
