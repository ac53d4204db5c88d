Feature: placing a task that may crash its runner

  A task that crashes each runner that starts it also takes down the runs of other tasks there. These must not be taken for the
  cause.

  Scenario: it goes where the fewest other runs are lost with the runner
    Given workers with 3, 8 and 5 free accelerators
    When a suspect task is placed
    Then it is placed on worker 2

  Scenario: it avoids a runner that has restarted recently
    Given workers with 3, 8 and 5 free accelerators
    And the runner of worker 2 has restarted recently
    When a suspect task is placed
    Then it is placed on worker 3

  Scenario: it does not start beside a run that was just started
    Given workers with 3, 8 and 5 free accelerators
    And a run of another job was just started on worker 2
    When a suspect task is placed
    Then it is placed on worker 3

  Scenario: it starts there after waiting long enough
    Given workers with 3, 8 and 5 free accelerators
    And a run of another job was just started on worker 2
    When a suspect task that has waited long enough is placed
    Then it is placed on worker 2

  Scenario: no other job starts beside it
    Given workers with 3, 8 and 5 free accelerators
    When a suspect task is placed
    And 9 tasks of another job are placed
    Then they are placed on workers 1 and 3

  Scenario: tasks of one job may start beside each other
    Given workers with 8 free accelerators
    When a suspect task is placed
    And another task of the same job is placed
    Then it is placed on worker 1
