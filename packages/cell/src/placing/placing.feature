Feature: placement, urgency and preemption

  Scenario: small tasks go to the fullest worker, so that empty ones stay free
    Given workers with 8, 3 and 8 free accelerators
    When 2 tasks of 1 accelerator are placed
    Then they are placed on worker 2

  Scenario: urgent tasks avoid a cold worker while another one has capacity
    Given workers with 8, 3 and 8 free accelerators
    And worker 2 is cold
    When 2 urgent tasks of 1 accelerator are placed
    Then they are placed on worker 1

  Scenario: urgent tasks go to a cold worker rather than wait
    Given workers with 0, 3 and 0 free accelerators
    And worker 2 is cold
    When 2 urgent tasks of 1 accelerator are placed
    Then they are placed on worker 2

  Scenario: tasks that are not urgent go to a cold worker
    Given workers with 8, 3 and 8 free accelerators
    And worker 2 is cold
    When 2 tasks of 1 accelerator are placed
    Then they are placed on worker 2

  Scenario: a gang is placed whole or not at all
    Given workers with 8, 3 and 8 free accelerators
    When a gang of 3 tasks of 8 accelerators is placed
    Then nothing is placed

  Scenario: a gang that must be on one rack goes to the rack that it fits most tightly
    Given workers with 8, 8, 4 and 4 free accelerators, two to a rack
    When a gang of 2 tasks of 4 accelerators is placed on one rack
    Then they are placed on workers 3 and 4

  Scenario: the runs that lose the least work are stopped
    Given workers with 0 and 0 free accelerators
    And runs of 8 accelerators that would lose 900 and 100
    When a preemption plan is made for 1 task of 8 accelerators
    Then the run that would lose 100 is stopped

  Scenario: no more runs are stopped than needed
    Given workers with 4 and 0 free accelerators
    And runs of 4, 4 and 4 accelerators on workers 1, 2 and 2 that would lose 10, 20 and 30
    When a preemption plan is made for 1 task of 8 accelerators
    Then the run that would lose 10 is stopped

  Scenario: the job with more value for each accelerator-second comes first
    When a small urgent job and a large waiting one are ordered
    Then the small urgent one comes first

  Scenario: a job that is too late to be of use comes last
    When a job that is too late and a timely one of lower priority are ordered
    Then the timely one comes first

  Scenario: a claim comes before all other jobs
    When a claim and a job of higher value are ordered
    Then the claim comes first
