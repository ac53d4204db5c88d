Feature: where a task goes that may crash its runner

  The load it answers: one task that crashes each runner that starts it, beside others. These lose their runs with it, and must
  not be taken for the cause.

  Scenario: it goes where least is lost with the runner
    Given workers with 3, 8 and 5 free accelerators
    When a suspect task is placed
    Then it goes to worker 2

  Scenario: it doesn't go where the runner has only just come back
    Given workers with 3, 8 and 5 free accelerators
    And the runner of worker 2 has only just come back
    When a suspect task is placed
    Then it goes to worker 3

  Scenario: it doesn't start beside a run that has only just been started
    Given workers with 3, 8 and 5 free accelerators
    And a run of another job has only just been started on worker 2
    When a suspect task is placed
    Then it goes to worker 3

  Scenario: it goes there after all once it has waited
    Given workers with 3, 8 and 5 free accelerators
    And a run of another job has only just been started on worker 2
    When a suspect task that has waited is placed
    Then it goes to worker 2

  Scenario: nothing else starts beside it
    Given workers with 3, 8 and 5 free accelerators
    When a suspect task is placed
    And 9 tasks of another job are placed
    Then they go to workers 1 and 3

  Scenario: tasks of one job may start beside each other
    Given workers with 8 free accelerators
    When a suspect task is placed
    And another task of its job is placed
    Then it goes to worker 1
