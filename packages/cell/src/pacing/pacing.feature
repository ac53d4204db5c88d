Feature: filler tasks on a worker give way to its serving tasks

  Scenario: a serving task over its target halves the pace, and then has the worker to itself
    Given a worker whose serving task has a target of 50 ms
    When its tail latency is 80 ms for 3000 ms
    Then the pace has been 100, 50, 25, 0

  Scenario: the pace rises again while there is headroom, step by step
    Given a worker whose serving task has a target of 50 ms
    When its tail latency is 80 ms for 500 ms
    And its tail latency is 20 ms for 5000 ms
    Then the pace has been 100, 50, 60, 70

  Scenario: a tail latency just below the target leaves the pace as it is
    Given a worker whose serving task has a target of 50 ms
    When its tail latency is 80 ms for 500 ms
    And its tail latency is 48 ms for 5000 ms
    Then the pace has been 100, 50

  Scenario: on a worker, the guard paces a filler task until the serving task is below its target
    Given a cell with one worker that runs a serving task with a target of 50 ms
    When a filler task raises its tail latency to 140 ms
    Then its tail latency is below 50 ms within 4 s
    And the filler task still runs
