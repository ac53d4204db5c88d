Feature: hedge policy

  Scenario: only idempotent kinds with known latency are hedged, after most would have ended
    Given a hedge policy that saw 200 latencies from 1 to 200 ms
    Then the hedge policy waits between 170 and 220 ms for an idempotent request
    And the hedge policy never copies a non-idempotent request
    And the hedge policy never copies a request with 150 ms left

  Scenario: hedges stop when the runners are busy or the budget is used up
    Given a hedge policy that saw 200 latencies from 1 to 200 ms
    Then the hedge policy sends 2 copies of 10 at utilisation 0.5
    And the hedge policy sends 0 copies of 10 at utilisation 0.9

  Scenario: a kind that is slow by itself is copied rarely
    Given a hedge policy that saw 200 latencies from 1 to 200 ms
    When 0 copies of 100 answered first
    Then the hedge policy sends 5 copies of 50 at utilisation 0.5
    When 60 copies of 60 answered first
    Then the hedge policy sends 50 copies of 50 at utilisation 0.5

  Scenario: copies wait for the way to the runners as well
    Given a hedge policy that saw 200 latencies from 1 to 200 ms
    When its answers take 100 ms beyond their service
    Then the hedge policy waits between 270 and 320 ms for an idempotent request

  Scenario: a request that was given up is held against service times
    Given a hedge policy that saw 200 latencies from 1 to 200 ms
    When its answers take 100 ms beyond their service
    Then giving a request up after 150 ms makes its runner look no slower
    And giving a request up after 1000 ms makes its runner look slower
