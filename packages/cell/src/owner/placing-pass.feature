Feature: one look over all that waits

  Scenario: each of two claims gets victims of its own
    Given 2 full workers, each with a run that loses 1000 accelerator-ms
    And 2 claims for a whole worker
    When a pass is decided
    Then 2 runs are stopped, one for each of the jobs

  Scenario: room that is promised to one isn't reckoned with for the next
    Given 2 full workers, each with a run that loses 1000 accelerator-ms
    And one of the runs is being stopped
    And 2 claims for a whole worker
    When a pass is decided
    Then 1 run is stopped

  Scenario: an urgent job stops others at once where they lose little
    Given 1 full worker, each with a run that loses 1000 accelerator-ms
    And an urgent job for a whole worker that has just come
    When a pass is decided
    Then 1 run is stopped

  Scenario: an urgent job doesn't stop those that lose much
    Given 1 full worker, each with a run that loses 90000 accelerator-ms
    And an urgent job for a whole worker that has just come
    When a pass is decided
    Then 0 runs are stopped

  Scenario: nobody else gets the free part of room that is being made
    Given a worker with 2 free accelerators, and a run of 2 that is being stopped
    And an urgent job for 4 accelerators for which room was made 100 ms ago
    And a job of the lowest priority for 2 accelerators
    When a pass is decided
    Then nothing starts

  Scenario: tasks that work alone get as much room as may be thrown away for them
    Given 3 full workers, each with a run that loses 15000 accelerator-ms
    And an urgent job of 3 tasks that need a whole worker each
    When a pass is decided
    Then 2 runs are stopped

  Scenario: a gang gets its room whole or stops nobody
    Given 3 full workers, each with a run that loses 15000 accelerator-ms
    And an urgent gang of 3 tasks that need a whole worker each
    When a pass is decided
    Then 0 runs are stopped

  Scenario: an owner that has not heard of all workers yet stops nobody
    Given 1 full worker, each with a run that loses 1000 accelerator-ms
    And an urgent job for a whole worker that has just come
    And an owner that has not heard of all workers yet
    When a pass is decided
    Then 0 runs are stopped
