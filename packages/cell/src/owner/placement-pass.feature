Feature: one placement pass over all pending groups

  Scenario: two guaranteed jobs preempt different runs
    Given 2 full workers, each with a run that would lose 1000 accelerator-ms
    And 2 guaranteed jobs for a whole worker each
    When a placement pass is planned
    Then 2 runs are preempted, one for each of the jobs

  Scenario: capacity reserved for one job isn't counted for the next
    Given 2 full workers, each with a run that would lose 1000 accelerator-ms
    And one of the runs is being stopped
    And 2 guaranteed jobs for a whole worker each
    When a placement pass is planned
    Then 1 run is preempted

  Scenario: an urgent job preempts runs at once where little work is lost
    Given 1 full worker, each with a run that would lose 1000 accelerator-ms
    And an urgent job for a whole worker that has just been accepted
    When a placement pass is planned
    Then 1 run is preempted

  Scenario: an urgent job doesn't preempt runs that would lose much work
    Given 1 full worker, each with a run that would lose 90000 accelerator-ms
    And an urgent job for a whole worker that has just been accepted
    When a placement pass is planned
    Then 0 runs are preempted

  Scenario: the free part of capacity reserved for a job goes to no other job
    Given a worker with 2 free accelerators, and a run of 2 that is being stopped
    And an urgent job for 4 accelerators for which runs were preempted 100 ms ago
    And a job of the lowest priority for 2 accelerators
    When a placement pass is planned
    Then nothing starts

  Scenario: independent tasks get as much capacity as the loss limit allows
    Given 3 full workers, each with a run that would lose 15000 accelerator-ms
    And an urgent job of 3 tasks that need a whole worker each
    When a placement pass is planned
    Then 2 runs are preempted

  Scenario: a gang gets capacity for all members or preempts nothing
    Given 3 full workers, each with a run that would lose 15000 accelerator-ms
    And an urgent gang of 3 tasks that need a whole worker each
    When a placement pass is planned
    Then 0 runs are preempted

  Scenario: an owner that does not know all workers yet preempts nothing
    Given 1 full worker, each with a run that would lose 1000 accelerator-ms
    And an urgent job for a whole worker that has just been accepted
    And an owner that does not know all workers yet
    When a placement pass is planned
    Then 0 runs are preempted
