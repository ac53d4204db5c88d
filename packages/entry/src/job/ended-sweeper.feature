Feature: rows of ended jobs and claims

  Scenario: the row of an ended job is removed once it was kept for long enough
    Given an owner with workers "w1"
    And a caller submits a "render" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    And the worker "w1" ends its tasks as "succeeded"
    And the submitted job gets "succeeded"
    When 3000000 ms go by in one leap, and two minutes more
    Then the submitted job's row is still there
    When 700000 ms go by in one leap, and two minutes more
    Then the submitted job's row is gone

  Scenario: rows of jobs that wait or run are kept however old they are
    Given an owner with workers "w1"
    And a caller submits a "render" gang of 1 tasks with 8 accelerators
    And the submitted job gets "started"
    When 7500000 ms go by in one leap, and two minutes more
    Then the submitted job's row is still there

  Scenario: the row of a claim that is over is removed, one that is held is kept
    Given an owner with workers "w1"
    And a claim of "studio" is held that will stay
    When 4000000 ms go by in one leap, and two minutes more
    Then the row of the claim that stays is still there
    When the claim that stays is released after all
    And 60000 ms pass for the owner
    Then the row of the claim that stays says "released"
    When 4000000 ms go by in one leap, and two minutes more
    Then the row of the claim that stays is gone
