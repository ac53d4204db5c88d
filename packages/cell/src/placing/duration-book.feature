Feature: how long tasks really take

  Scenario: without runs an estimate is drawn half way to its queue's mean
    Given estimates of 1000, 1000 and 8000 ms
    Then a task estimated at 500 ms is expected to take 1000 ms, give or take 10 of 100

  Scenario: estimates that say nothing are given up for what tasks have taken
    Given 40 runs of 2000 ms with estimates from 200 to 8000 ms
    Then a task estimated at 200 ms is expected to take 2000 ms, give or take 40 of 100
    And a task estimated at 8000 ms is expected to take 2000 ms, give or take 40 of 100

  Scenario: estimates that are right are believed
    Given 40 runs that took what was estimated, from 200 to 8000 ms
    Then a task estimated at 400 ms is expected to take 400 ms, give or take 20 of 100
    And a task estimated at 6000 ms is expected to take 6000 ms, give or take 20 of 100
