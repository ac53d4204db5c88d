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
