Feature: bookings run at most once under faults

  Scenario: guard killed with a booking in progress
    Given a deployment of 2 entries and 2 runners
    When a booking named "lens" with key "k1" at entry-1 is in progress for 1500 ms
    And a booking named "body" at entry-2 is in progress for 1500 ms
    And the guard that has "lens" is killed
    Then "lens" ends as upstream-lost with ran unknown
    When the booking named "lens" with key "k1" is repeated at entry-2 for 1500 ms
    Then "lens" ends as upstream-lost with ran unknown
    When the guard that has "lens" is started again
    And the booking named "lens" with key "k1" is repeated at entry-1 for 1500 ms
    Then "lens" ends as upstream-lost with ran unknown
    And "lens" ran 1 time
    And every answer is true to the ledgers

  Scenario: entry killed with a booking in progress, repeated at the other entry
    Given a deployment of 2 entries and 2 runners
    When a booking named "lens" with key "k1" at entry-1 is in progress for 1500 ms
    And a booking named "body" at entry-1 is in progress for 1500 ms
    And entry-1 is killed
    Then "lens" is cut
    And "body" is cut
    When the booking named "lens" with key "k1" is repeated at entry-2 for 1500 ms
    Then "lens" ends whole
    When the booking named "lens" with key "k1" is repeated at entry-2 for 1500 ms
    Then "lens" ends whole
    And "lens" ran 1 time
    And every answer is true to the ledgers

  Scenario: runner frozen with a booking in progress
    Given a deployment of 2 entries and 1 runner
    When every runner freezes
    And a booking named "lens" at entry-1 has 800 ms to its deadline
    Then "lens" ends as deadline-passed with ran unknown
    And "lens" ran 1 time
    When every runner heals
    And a booking named "body" at entry-2 is in progress for 10 ms
    Then "body" ends whole
    And every answer is true to the ledgers

  Scenario: guard frozen past its heartbeats with a booking in progress
    Given a deployment of 2 entries and 2 runners
    When a booking named "lens" at entry-1 is in progress for 500 ms
    And the guard that has "lens" is frozen
    And a match named "face" at entry-1 is sent for 10 ms
    And a match named "scan" at entry-2 is sent for 10 ms
    And no entry is linked to the guard that has "lens"
    And the guard that has "lens" is resumed
    Then "lens" ends whole
    And "face" ends whole
    And "scan" ends whole
    And "lens" ran 1 time
    And all upstreams get work from all entries again
    And every answer is true to the ledgers
