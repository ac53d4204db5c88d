Feature: which workers are quarantined

  Scenario: a worker on which two tasks fail is quarantined
    Given 9 workers
    When tasks a and b fail on worker 1
    Then 1 worker is quarantined

  Scenario: one task that fails twice doesn't quarantine a worker
    Given 9 workers
    When tasks a and a fail on worker 1
    Then 0 workers are quarantined

  Scenario: tasks that fail wherever they run quarantine no more than a third of the workers
    Given 6 workers
    When two tasks fail on each worker
    Then 2 workers are quarantined
