Feature: runners that are lost while their guards restart

  # The owner went by the runner's last report, found the worker idle, and assigned it the next jobs.
  Scenario: nothing is placed on a worker whose guard reports no runner
    Given a cell of 2 entries and 2 workers
    When a runner is lost for good while its guard restarts
    And 3 jobs that need a whole worker are submitted
    Then each of them completes
    And nothing was assigned to its worker
