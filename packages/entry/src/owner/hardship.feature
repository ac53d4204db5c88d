Feature: an owner in hardship

  Scenario: a lost answer to a start starts nothing twice
    Given an owner with workers "w1"
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the worker "w1" holds a reservation
    When the answers of "w1" are lost from the start on, twice
    And the worker "w1" has prepared
    Then the submitted job gets "started"
    And the worker "w1" has started 1 tasks

  Scenario: a job cancelled while its gang is reserved is truthfully not run
    Given an owner with workers "w1, w2"
    And the worker "w2" prepares slowly
    And a caller submits a "entry" gang of 2 tasks with 8 accelerators
    And the worker "w2" holds a reservation
    When the caller cancels the submitted job
    Then the submitted job gets "cancelled"
    And the submitted job's outcome is "not-run" and "cancelled"
    And the worker "w1" has started 0 tasks
    And no reservation is left on "w1, w2"

  Scenario: a job written as started, whose start reached no guard in time, is truthfully not run
    Given an owner with workers "w1"
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the worker "w1" holds a reservation
    When the worker "w1" has prepared, and is cut off until its reservation has lapsed
    Then the submitted job gets "failed"
    And the submitted job's outcome is "not-run" and "lost"
    And the worker "w1" has started 0 tasks

  Scenario: no end is told before the silent member's reservation has surely lapsed
    Given an owner with workers "w1, w2"
    And the worker "w2" prepares slowly
    And a caller submits a "entry" gang of 2 tasks with 8 accelerators
    And the worker "w2" holds a reservation
    When the guard of "w2" falls silent
    And the caller cancels the submitted job
    And 10000 ms pass for the owner
    Then the submitted job is still "queued"
    When 30000 ms pass for the owner
    Then the submitted job gets "cancelled"
    And the submitted job's outcome is "not-run" and "cancelled"

  Scenario: an end during an outage is written once the table is back
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the table goes down for the owner
    And the worker "w1" ends its tasks as "succeeded"
    And 30000 ms pass for the owner
    Then the submitted job is still "started"
    And the guard of "w1" still remembers the end
    When the table comes back for the owner
    Then the submitted job gets "succeeded"
    And no reservation is left on "w1"

  Scenario: a job that keeps failing is retried within the budget
    Given an owner with workers "w1"
    And a caller submits a "render" gang of 1 tasks with 1 accelerators
    When the worker "w1" fails whatever it runs
    Then the submitted job gets "failed"
    And the submitted job's outcome is "ran" and "task-failed"
    And the worker "w1" has started 3 tasks

  Scenario: a claim is kept until the jobs inside have ended
    Given an owner with workers "w1"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    And a job is submitted for 4 accelerators of the claim
    And the submitted job gets "started"
    When the claim is released
    And 20000 ms pass for the owner
    Then the claim holds 8 accelerators on the workers
    When the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"
    And no reservation is left on "w1"

  Scenario: a job for a released claim is refused
    Given an owner with workers "w1"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When the claim is released
    And a job is submitted for 4 accelerators of the claim
    Then the submission answers 409

  Scenario: a row that can't be read stops nobody else's job
    Given an owner with workers "w1"
    And a second entry
    And a row of a job that nobody can read
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the owner dies
    Then the second entry owns the failure domain
    When the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"

  Scenario: a start that a replaced owner wrote late is settled by its successor
    Given an owner with workers "w1"
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the worker "w1" holds a reservation
    When another owner's start of the submitted job gets into its row
    And the worker "w1" has prepared
    Then the submitted job gets "failed"
    And the submitted job's outcome is "not-run" and "lost"
    And the worker "w1" has started 0 tasks

  Scenario: a gang that guards keep refusing is placed ever more slowly
    Given an owner with workers "w1"
    And a bundle that asks for the fifo scheduler
    And something else holds all of "w1"
    When a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And 20000 ms pass for the owner
    Then the owner has made at most 20 attempts
    And the submitted job is still "queued"

  Scenario: nothing new is reserved during an outage
    Given an owner without workers
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    When the table goes down for the owner
    And 2000 ms pass for the owner
    And the worker "w1" joins
    And 5000 ms pass for the owner
    Then no reservation is left on "w1"
    When the table comes back for the owner
    Then the submitted job gets "started"

  Scenario: another scheduler finds again what runs
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    When a bundle that asks for the fifo scheduler
    And 5000 ms pass for the owner
    And the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"
    And the worker "w1" has started 1 tasks
