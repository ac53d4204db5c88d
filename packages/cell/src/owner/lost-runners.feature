Feature: runners that are lost while their guards restart

  # The owner went by the runner's last report, found the worker idle, and assigned it the next jobs.
  Scenario: nothing is placed on a worker whose guard reports no runner
    Given a cell of 2 entries and 2 workers
    When a runner is lost for good while its guard restarts
    And 3 jobs that need a whole worker are submitted
    Then each of them completes
    And nothing was assigned to its worker

  # Contacts without a runner moved the time of the last contact, against which the progress of the runs was judged.
  Scenario: a run isn't taken for stalled while its guard looks for the runner
    Given a cell of 2 entries and 1 worker
    When a job that takes 6 s is submitted and has started
    And the guard restarts and hears nothing of the runner for 2.5 s
    Then it completes
    And no run was stopped as stalled
