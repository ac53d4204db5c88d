Feature: an owner that loses contact with a guard

  Scenario: a gang that lost contact with a member is stopped, and runs anew only once that has surely ended
    Given an owner with workers "w1, w2, w3"
    And a caller submits a "render" gang of 2 tasks with 8 accelerators
    And the submitted job gets "started"
    When the guard of the gang's first member loses contact
    Then the gang's other member is stopped before the first has surely ended
    And the submitted job's next attempt starts once the first has surely ended

  Scenario: a job that can't run again is lost once its guard has surely stopped it
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the guard of the gang's first member loses contact
    Then the submitted job is lost once the first has surely ended
    And the submitted job's outcome is "unknown" and "lost"

  Scenario: a member that comes back in time is adopted
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the guard of the gang's first member loses contact
    And 18000 ms pass for the owner
    And the guard of the gang's first member is in contact again
    And 100000 ms pass for the owner
    And the worker "w1" ends its tasks as "succeeded"
    Then the submitted job gets "succeeded"
    And the worker "w1" has started 1 tasks

  Scenario: a guard that the owner still answers isn't given up
    Given an owner with workers "w1"
    And a caller submits a "render" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    When the guard of "w1" loses its answers for 200000 ms, but is answered
    Then the submitted job is still "started"
    And the worker "w1" has started 1 tasks

  # A guard's answer and its word that the task is ready may come together; without its times in the row, a later owner
  # that never reaches it waits for 300 s.
  Scenario: the row of a start has its guard's times though the guard's word is handled before its answer
    Given an owner with workers "w1"
    And the guard of "w1" says that a task is ready before its reservation is answered
    When a caller submits a "render" gang of 1 tasks with 8 accelerators
    Then the submitted job gets "started"
    And the row of the submitted job has the times of its guards

  Scenario: a new owner that never reaches a guard knows its times from the row
    Given an owner with workers "w1"
    And a second entry
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the guard of the gang's first member loses contact
    And the owner dies
    Then the second entry owns the failure domain
    And the submitted job is lost once the first has surely ended

  Scenario: an entry tells a guard whether its owner is reachable
    Given an owner with workers "w1"
    And a second entry
    Then the second entry says that owner "entry-a-life-1" of term 1 is reachable
    And the second entry says that owner "entry-a-life-0" of term 1 is unreachable
    And the second entry says that owner "entry-a-life-0" of term 0 is reachable
    And the owner itself says that owner "entry-b-life-1" of term 1 is unreachable

  Scenario: an owner without the table gives up once it hears of its successor
    Given an owner with workers "w1"
    And a second entry
    When the owner loses the table until the second entry owns the failure domain
    Then the paused owner knows that it was replaced
