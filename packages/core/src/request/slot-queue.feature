Feature: slot queue

  Scenario: no more run than there are slots
    Given a slot queue of 2 slots and 4 places
    When the slot queue is offered "a b c" of account "x"
    Then the slot queue has started "a b"

  Scenario: urgent requests go first
    Given a slot queue of 1 slots and 4 places
    When the slot queue is offered "a b" of account "x"
    And the slot queue is offered urgent "u" of account "x"
    And the slot queue's "a" ends
    Then the slot queue has started "a u"

  Scenario: the account with the fewest running goes first
    Given a slot queue of 2 slots and 4 places
    When the slot queue is offered "a b c" of account "x"
    And the slot queue is offered "d" of account "y"
    And the slot queue's "a" ends
    Then the slot queue has started "a b d"

  Scenario: a full queue refuses with its bound
    Given a slot queue of 1 slots and 2 places
    When the slot queue is offered "a b c" of account "x"
    Then the slot queue refuses "d" of account "x" as "overloaded" with bound 2

  Scenario: one account's burst doesn't fill the queue
    Given a slot queue of 1 slots and 3 places
    When the slot queue is offered "a b c d" of account "x"
    And the slot queue is offered "e" of account "y"
    Then the slot queue has dropped "d" as "overloaded"

  Scenario: a deadline that can't be met is refused at once
    Given a slot queue of 1 slots and 9 places
    When the slot queue is offered "a b c" of account "x"
    And 100 ms pass for the slot queue
    And the slot queue's "a" ends
    Then the slot queue refuses "d" of account "x" with 120 ms left as "deadline-passed"

  Scenario: nothing is refused on a guess
    Given a slot queue of 1 slots and 9 places
    When the slot queue is offered "a b" of account "x"
    And the slot queue is offered "c" of account "x" with 10 ms left
    And the slot queue's "a" ends
    Then the slot queue has started "a c"

  Scenario: a queued request whose deadline passes is dropped then
    Given a slot queue of 1 slots and 9 places
    When the slot queue is offered "a b" of account "x"
    And 5001 ms pass for the slot queue
    Then the slot queue has dropped "b" as "deadline-passed"

  Scenario: a free slot is always tried, whatever was measured
    Given a slot queue of 1 slots and 9 places
    When the slot queue is offered "a" of account "x"
    And 4000 ms pass for the slot queue
    And the slot queue's "a" ends
    And the slot queue is offered "b" of account "x" with 10 ms left
    Then the slot queue has started "a b"
