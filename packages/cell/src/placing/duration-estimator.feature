Feature: estimating how long tasks take

  Scenario: without runs an estimate is corrected half way towards its queue's mean
    Given estimates of 1000, 1000 and 8000 ms
    Then a task estimated at 500 ms is expected to take 1000 ms, with an error of at most 10 in 100

  Scenario: estimates unrelated to actual durations are replaced by these
    Given 40 runs of 2000 ms with estimates from 200 to 8000 ms
    Then a task estimated at 200 ms is expected to take 2000 ms, with an error of at most 40 in 100
    And a task estimated at 8000 ms is expected to take 2000 ms, with an error of at most 40 in 100

  Scenario: accurate estimates are kept
    Given 40 runs that took as long as estimated, from 200 to 8000 ms
    Then a task estimated at 400 ms is expected to take 400 ms, with an error of at most 20 in 100
    And a task estimated at 6000 ms is expected to take 6000 ms, with an error of at most 20 in 100
