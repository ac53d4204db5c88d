Feature: preferring fast workers

  Scenario: a gang goes to workers of like speed
    The slowest member sets the end of a gang.
    Given workers with 8, 8, 8 and 8 free accelerators
    And workers 1 and 3 have the speed 0.77
    When a gang of 2 tasks of 8 accelerators is placed
    Then they are placed on workers 2 and 4

  Scenario: a gang that doesn't fit on fast workers alone starts all the same
    Given workers with 8, 8, 8 and 8 free accelerators
    And workers 1 and 3 have the speed 0.1
    When a gang of 3 tasks of 8 accelerators is placed
    Then 3 tasks are placed

  Scenario: a gang stays off a runner that restarts again and again
    Given workers with 8, 8 and 8 free accelerators
    And the runner of worker 1 has restarted twice
    When a gang of 2 tasks of 8 accelerators is placed
    Then they are placed on workers 2 and 3

  Scenario: a gang without a choice starts on a runner that restarts again and again
    Given workers with 8 and 8 free accelerators
    And the runner of worker 1 has restarted twice
    When a gang of 2 tasks of 8 accelerators is placed
    Then they are placed on workers 1 and 2

  Scenario: a gang for one rack goes to a rack of fast workers
    Given workers with 8, 8, 8 and 8 free accelerators, two to a rack
    And workers 1 and 2 have the speed 0.77
    When a gang of 2 tasks of 8 accelerators is placed on one rack
    Then they are placed on workers 3 and 4

  Scenario: an urgent task goes to the fastest of equal workers, and to a slow one last
    Given workers with 8, 8 and 4 free accelerators
    And worker 1 has the speed 0.9
    And worker 3 has the speed 0.2
    When 1 urgent tasks of 4 accelerators are placed
    Then they are placed on worker 2

  Scenario: wrong speeds keep no task from starting
    Given workers with 8, 8 and 8 free accelerators
    And workers 1, 2 and 3 have the speed 0.1
    When 3 urgent tasks of 8 accelerators are placed
    Then 3 tasks are placed
