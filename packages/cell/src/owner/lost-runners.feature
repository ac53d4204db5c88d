Feature: runners that are lost while their guards restart

  # A contact without a runner extended the lease of all that was assigned to the worker. A guard that had restarted after its runner was
  # lost reports no runner until another one registers: until then the runs there were neither given up nor started elsewhere.
  Scenario: a task whose runner is lost while its guard restarts runs elsewhere
    Given a cell of 2 entries and 2 workers
    When a job that takes 1 s is submitted and has started
    And the runner that runs it is lost for good while its guard restarts
    Then it completes
    And no two runs of a task worked at the same time

  # The entry that takes the cell over has granted the worker nothing: what its predecessor granted ends within one lease of the guard's
  # first contact, as the guard takes leases from the present owner only.
  Scenario: the same while the owner is lost too
    Given a cell of 2 entries and 2 workers
    When a job that takes 1 s is submitted and has started
    And the runner that runs it is lost for good while its guard restarts and the owner is lost
    Then it completes before the last leases of the lost owner could have ended
    And no two runs of a task worked at the same time

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
