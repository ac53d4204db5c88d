Feature: hand-over and recovery of a failure domain

  Scenario: a planned stop hands a running job over
    Given an owner with workers "w1"
    And a second entry
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the owner is drained
    Then the second entry owns the failure domain
    When the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"
    And the worker "w1" has started 1 tasks

  Scenario: a dead owner's half-made attempt is queued again
    Given an owner with workers "w1"
    And a second entry
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the worker "w1" holds a reservation
    When the owner dies
    Then the second entry owns the failure domain
    When the worker "w1" has prepared
    Then the submitted job gets "started"
    And the worker "w1" has started 1 tasks

  Scenario: a paused owner that was replaced is refused by the guards
    Given an owner with workers "w1"
    And a second entry
    When the owner is paused until the second entry owns the failure domain
    And the paused owner places a job of its own on "w1"
    Then the paused owner knows that it was replaced
    And the submitted job gets "started"
    And the worker "w1" has started 1 tasks

  Scenario: an end reported while the owner was away is found in the inventory
    Given an owner with workers "w1"
    And a second entry
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the owner dies
    And the worker "w1" ends its tasks as "succeeded"
    Then the second entry owns the failure domain
    And the submitted job gets "succeeded"

  Scenario: a guard that was restarted can't vouch for what it started
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the guard of "w1" is restarted
    Then the submitted job gets "failed"
    And the submitted job's outcome is "unknown" and "lost"

  Scenario: a short silence of a guard ends nothing
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the link to "w1" is cut for 8000 ms
    And the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"

  Scenario: a silence ends no job before the guard has surely stopped it
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the guard of "w1" falls silent
    And 59000 ms pass for the owner
    Then the submitted job is still "started"
    When the link to "w1" is cut for 100 ms
    And the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"

  Scenario: two entries never hold one lease
    Given 3 entries that start at once
    When 10000 ms pass for the owner
    Then exactly 1 of them owns the failure domain

  Scenario: a lost answer to taking the lease is settled
    Given 1 entries that start at once, the first write's answer lost
    When 10000 ms pass for the owner
    Then exactly 1 of them owns the failure domain

  Scenario: an outage of the table ends no ownership
    Given an owner with workers "w1"
    And a second entry
    When the table is down for everybody for 60000 ms
    Then the first entry still owns the failure domain

  Scenario: a table that lost its rows costs one change of term
    Given an owner with workers "w1"
    And the guard of "w1" has seen term 20
    And the table has lost the lease's row
    When 20000 ms pass for the owner
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    Then the submitted job gets "started"
    And the owner's term is 21

  Scenario: a lease row that can't be read is taken over
    Given an owner with workers "w1"
    And somebody has spoiled the lease's row
    When 20000 ms pass for the owner
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    Then the submitted job gets "started"
