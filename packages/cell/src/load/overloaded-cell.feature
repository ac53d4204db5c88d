Feature: an overloaded cell refuses what it cannot serve in time

  Scenario: a refused job never runs, and runs once when its caller returns
    Given a cell of 2 entries and 2 workers whose entries know its load
    When more is submitted than it can do in time, until a job is refused
    Then the refusal came within 1000 ms, names the overload and says when to return
    And nothing of the refused job is stored
    When its caller returns until the job is accepted
    Then it completes
    And each run was started once
    And the owner ranked the job by its first refusal

  # Capacity that the same pass fills looked free, half of the service idle, and a job that returned at that moment was
  # accepted ahead of work of many seconds.
  Scenario: no load summary shows a service as idle while its jobs wait
    Given a cell of 2 entries and 1 worker whose entries know its load
    When a job of 100 tasks is submitted that each take the whole worker for 100 ms
    Then for 5 s less than half of the service is free in each summary with waiting work

  Scenario: a job that was accepted before isn't refused when its caller submits it again elsewhere
    Given a cell of 2 entries and 2 workers whose entries know its load
    When more is submitted than it can do in time, until a job is refused
    Then each accepted job is still accepted at the other entry

  # An attempt without an answer may be stored seconds later, after another entry has found no row of the job.
  Scenario: nothing is refused because of the load while an earlier attempt may still be stored
    Given a cell of 2 entries and 2 workers whose entries know its load
    When more is submitted than it can do in time, until a job is refused
    And an answer of the store is lost, and the job is submitted again
    Then it was accepted

  Scenario: after the loss of the owner everything is accepted until the new owner knows the load
    Given a cell of 3 entries and 2 workers whose entries know its load
    When more is submitted than it can do in time, until a job is refused
    And the owner is lost, and after the take-over a job is submitted
    Then it was accepted

  # Other frames used to postpone heartbeats, so that the summary got too old just when many jobs were submitted.
  Scenario: entries know the load also while their links are busy
    Given a cell of 2 entries and 2 workers whose entries know its load
    When a short job is submitted every 200 ms for 5 s
    Then the summary at the other entry was never older than 2400 ms

  Scenario: an owner whose entries have the part switched off sends no summary
    Given a cell of 2 entries and 1 worker without admission
    When nothing happens for 4 s
    Then no entry has received a summary
