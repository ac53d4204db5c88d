Feature: run-time estimates

  Scenario: declarations ten times too short are corrected
    Given run-time estimates
    When 20 runs declared as 60000 ms take about 600000 ms
    Then a run declared as 60000 ms is estimated within 30 percent of 600000 ms

  Scenario: declarations ten times too long are corrected
    Given run-time estimates
    When 20 runs declared as 6000000 ms take about 600000 ms
    Then a run declared as 6000000 ms is estimated within 30 percent of 600000 ms

  Scenario: the declared ratio carries over to sizes not seen before
    Given run-time estimates
    When runs of all lengths take 5 times what they declare
    Then a run declared as 77000 ms is estimated within 40 percent of 385000 ms

  Scenario: jobs that still run raise the estimate
    Given run-time estimates
    When 6 runs declared as 60000 ms take about 60000 ms
    And 20 runs declared as 60000 ms have gone on for 900000 ms
    Then a run declared as 60000 ms is estimated at 900000 ms or more at p90

  Scenario: a failed run doesn't make the estimate shorter
    Given run-time estimates
    When 10 runs declared as 60000 ms take about 60000 ms
    And 30 runs declared as 60000 ms fail after 500 ms
    Then a run declared as 60000 ms is estimated within 30 percent of 60000 ms

  Scenario: what a checkpoint saved is not run again
    Given run-time estimates
    When 20 runs declared as 60000 ms take about 60000 ms
    Then a run with 45000 ms saved has less than 25000 ms left

  Scenario: memory is bounded at the size of two years
    Given run-time estimates
    When 390 accounts run 30 kinds each
    Then run-time estimates keep at most 2000 histories

  Scenario: estimates are finite and ordered for any observations
    Then run-time estimates hold p50 below p90 for any observations
