Feature: write queue

  Scenario: writes that wait share transactions
    Given a write queue whose table answers on command, 4 transactions at once
    When 50 writes of 2 rows are queued
    And the queue's table answers everything
    Then all queued writes are written with their own versions
    And the queue used 8 transactions

  Scenario: a conflict fails only its own write
    Given a write queue whose table answers on command, 1 transactions at once
    And a row of the 5th write was changed by somebody else
    When 8 writes of 2 rows are queued
    And the queue's table answers everything
    Then all queued writes but the 5th are written

  Scenario: two writes of one row travel apart
    Given a write queue whose table answers on command, 1 transactions at once
    When 3 writes of the same row are queued
    And the queue's table answers everything
    Then the queue used 3 transactions
