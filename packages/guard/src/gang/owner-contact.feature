Feature: a guard's contact with its owner

  Scenario: an answer of the owner lets tasks go on for a while without asking again
    Given a guard whose owner answers
    When the guard asks whether its tasks may go on
    And 20000 ms pass for the guard
    Then the guard's tasks may go on
    And the guard has asked its owner 1 times

  Scenario: an answer counts from the call, however late it comes
    Given a guard whose owner answers
    And the guard's process is paused for 60000 ms while its owner answers
    Then the guard's tasks may not go on

  Scenario: a guard that was paused asks before it goes on
    Given a guard whose owner answers
    When the guard asks whether its tasks may go on
    And 60000 ms pass for the guard
    Then the guard's tasks may go on
    And the guard has asked its owner 2 times

  Scenario: a guard that alone is cut off from its owner stops its tasks
    Given a guard whose owner is silent
    And another entry says that the guard's owner is reachable
    Then the guard's tasks may not go on

  Scenario: one entry that reaches the owner outweighs those that don't
    Given a guard whose owner is silent
    And another entry says that the guard's owner is unreachable
    And another entry says that the guard's owner is reachable
    Then the guard's tasks may not go on

  Scenario: a guard that is cut off from every entry stops its tasks
    Given a guard whose owner is silent
    And another entry answers the guard nothing
    Then the guard's tasks may not go on

  Scenario: tasks outlive their owner
    Given a guard whose owner is silent
    And another entry says that the guard's owner is unreachable
    Then the guard's tasks may go on
    When 60000 ms pass for the guard
    Then the guard's tasks may go on
    And the guard has asked its owner 2 times

  Scenario: an owner that gave up its failure domain is gone, though its entry lives
    Given a guard whose owner says that it no longer is
    And another entry says that the guard's owner is unreachable
    Then the guard's tasks may go on
    And the guard has asked after a successor alone

  Scenario: a new owner comes while the guard asks after the old one
    Given a guard whose owner is silent
    And another entry becomes the guard's owner when it is asked
    Then the guard's tasks may go on
