Feature: operators' API

  Scenario: a bundle is proposed, signed, rolled out and in force
    Given an operator entry
    When an operator proposes accounts "tuul"
    And two operators sign and roll out the proposal
    Then the operator call answers 200
    And the operator sees version 1 in force at "entry-1" and "entry-2" unreachable
    And the operator finds version 1 by "bat" in the history

  Scenario: a proposal with one signature isn't rolled out
    Given an operator entry
    When an operator proposes accounts "tuul"
    And one operator signs and rolls out the proposal
    Then the operator call answers 403

  Scenario: of two racing rollouts one wins and the other is told
    Given two operator entries over one table
    When both roll out a bundle as version 1 at once
    Then one rollout wins and the other is told by whom and what to do

  Scenario Outline: a write to the head whose answer is lost is settled
    Given an operator entry
    When a bundle is rolled out while the table <fault>
    Then the operator call answers <status>
    And the rollout can be repeated and is in force

    Examples:
      | fault             | status |
      | loses the answer  | 200    |
      | loses the write   | 503    |
      | is down           | 503    |

  Scenario: an older head can't be rolled out again
    Given an operator entry
    When versions 1 and 2 are rolled out and then version 1 again
    Then the operator call answers 409
    And the operator is told "bat" rolled out version 2

  Scenario: an entry takes a newer bundle from the table
    Given two operator entries over one table
    When the first rolls out a bundle and the second reads the table
    Then the second operator entry has version 1

  Scenario Outline: a call with a wrong token is refused
    Given an operator entry
    When an operator calls with <token>
    Then the operator call answers 401

    Examples:
      | token                     |
      | a token used before       |
      | a token for another path  |
      | a token of a stranger     |
      | another's name            |
      | another audience          |
      | a token of an hour        |
      | no JWT at all             |

  Scenario: guarantees that don't fit are refused with the numbers
    Given an operator entry
    When an operator proposes a guarantee of 8 accelerators without workers
    Then the operator call answers 400
    And the operator is told "acceleratorsAsked 8"

  Scenario: jobs over all accounts are listed page by page
    Given an operator entry with 7 jobs of 2 accounts
    When an operator lists jobs 3 at a time
    Then the operator has seen 7 jobs once each

  Scenario: a bundle that no message could carry is refused with the bound
    Given an operator entry
    When an operator proposes 1900 accounts with 16 tokens each
    Then the operator call answers 413
    And the operator is told "at most 900000 are allowed"

  Scenario: a table that lost its rows takes the next rollout
    Given an operator entry
    When versions 1 and 2 are rolled out and the table loses its rows
    And the operator entry reads the table
    Then the operator entry counts "bundle.table-behind" and keeps version 2
    When a bundle is rolled out as version 3
    Then the operator call answers 200
