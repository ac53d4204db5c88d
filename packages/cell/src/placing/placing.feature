Feature: where groups go, in which order, and at whose cost

  Scenario: small tasks go to the tightest worker, so that whole ones stay free
    Given workers with 8, 3 and 8 free accelerators
    When 2 tasks of 1 accelerator are placed
    Then they go to worker 2

  Scenario: urgent tasks keep off a worker that is slow after its start while another has room
    Given workers with 8, 3 and 8 free accelerators
    And worker 2 is cold
    When 2 urgent tasks of 1 accelerator are placed
    Then they go to worker 1

  Scenario: urgent tasks take a worker that is slow after its start rather than wait
    Given workers with 0, 3 and 0 free accelerators
    And worker 2 is cold
    When 2 urgent tasks of 1 accelerator are placed
    Then they go to worker 2

  Scenario: tasks that have time go to a worker that is slow after its start
    Given workers with 8, 3 and 8 free accelerators
    And worker 2 is cold
    When 2 tasks of 1 accelerator are placed
    Then they go to worker 2

  Scenario: a gang is placed whole or not at all
    Given workers with 8, 3 and 8 free accelerators
    When a gang of 3 tasks of 8 accelerators is placed
    Then nothing is placed

  Scenario: a gang that must be on one rack takes the rack that it leaves emptiest
    Given workers with 8, 8, 4 and 4 free accelerators, two to a rack
    When a gang of 2 tasks of 4 accelerators is placed on one rack
    Then they go to workers 3 and 4

  Scenario: room is made by those that lose least
    Given workers with 0 and 0 free accelerators
    And runs of 8 accelerators that would lose 900 and 100
    When room is sought for 1 task of 8 accelerators
    Then the run that would lose 100 is stopped

  Scenario: no more is stopped than is needed
    Given workers with 4 and 0 free accelerators
    And runs of 4, 4 and 4 accelerators on workers 1, 2 and 2 that would lose 10, 20 and 30
    When room is sought for 1 task of 8 accelerators
    Then the run that would lose 10 is stopped

  Scenario: more worth for each accelerator-second comes first
    When a small urgent job and a large one that waits are ordered
    Then the small urgent one comes first

  Scenario: a job that is past all use comes last
    When a job past all use and one of lower priority in time are ordered
    Then the one in time comes first

  Scenario: a claim comes before everything else
    When a claim and a job of more worth are ordered
    Then the claim comes first
