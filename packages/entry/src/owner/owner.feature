Feature: owner of a failure domain

  Scenario: a submitted job runs to its end
    Given an owner with workers "w1, w2"
    When a caller submits a "render" gang of 2 tasks with 8 accelerators
    Then the submission answers 202
    And the submitted job gets "started"
    When the worker "w1" ends its tasks as "succeeded"
    And the worker "w2" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"
    And the submitted job's outcome is "ran" and "done"
    And no reservation is left on "w1, w2"

  Scenario: nothing starts before all members are ready
    Given an owner with workers "w1, w2"
    And the worker "w2" prepares slowly
    When a caller submits a "render" gang of 2 tasks with 8 accelerators
    And 5000 ms pass for the owner
    Then the worker "w1" has started 0 tasks
    When the worker "w2" has prepared
    Then the submitted job gets "started"
    And the worker "w1" has started 1 tasks

  Scenario: a failed member stops the others
    Given an owner with workers "w1, w2"
    And a caller submits a "entry" gang of 2 tasks with 8 accelerators
    And the submitted job gets "started"
    When the worker "w1" ends its tasks as "failed"
    Then the submitted job gets "failed"
    And the submitted job's outcome is "ran" and "task-failed"
    And no reservation is left on "w1, w2"

  Scenario: a lost answer to the started write is settled by reading back
    Given an owner with workers "w1"
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    When the owner loses the answer to its next write
    And the worker "w1" has prepared
    Then the submitted job gets "started"
    And the worker "w1" has started 1 tasks

  Scenario: a started job that is not idempotent never runs twice
    Given an owner with workers "w1, w2"
    And a caller submits a "entry" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    When the guards fall silent for good
    Then the submitted job gets "failed"
    And the submitted job's outcome is "unknown" and "lost"

  Scenario: an idempotent job runs again once its lost member has surely ended
    Given an owner with workers "w1, w2"
    And a caller submits a "render" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    When the guard that runs it falls silent for good
    Then the submitted job is started on the other worker

  Scenario: a queued job is cancelled and truthfully not run
    Given an owner without workers
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    When the caller cancels the submitted job
    Then the submission answers 200
    And the submitted job's outcome is "not-run" and "cancelled"

  Scenario: a running job is cancelled through another entry
    Given an owner with workers "w1"
    And a second entry
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the caller cancels the submitted job through the second entry
    Then the submitted job gets "cancelled"
    And the submitted job's outcome is "ran" and "cancelled"

  Scenario: a lost notification is made up for by the rescan
    Given an owner with workers "w1"
    And a second entry that can't reach the owner
    When a caller submits a "entry" gang of 1 tasks with 1 accelerators through the second entry
    Then the submitted job gets "started"

  Scenario: placements wait for the table
    Given an owner with workers "w1"
    And the worker "w1" prepares slowly
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    When the table goes down for the owner
    And the worker "w1" has prepared
    And 60000 ms pass for the owner
    Then the worker "w1" has started 0 tasks
    When the table comes back for the owner
    Then the submitted job gets "started"
    And the worker "w1" has started 1 tasks
