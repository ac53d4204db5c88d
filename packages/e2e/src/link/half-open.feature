@lossy
Feature: requests over links that fail

  Scenario: links cut with bookings in progress
    Given a deployment of 2 entries and 2 runners over lossy links
    When a booking named "lens" at entry-1 is in progress for 600 ms
    And a booking named "body" at entry-2 is in progress for 600 ms
    And all links are cut
    Then "lens" ends whole
    And "body" ends whole
    And "lens" ran 1 time
    And "body" ran 1 time
    And every answer is true to the ledgers

  Scenario: half-open links with bookings in progress
    Given a deployment of 1 entries and 2 runners over lossy links
    When a booking named "lens-1" at entry-1 is in progress for 300 ms
    And all links go silent both
    And a booking named "swallowed-1" at entry-1 is sent for 10 ms
    Then "lens-1" ends whole
    And "swallowed-1" ends whole or not run
    When all upstreams get work from all entries again
    And a booking named "lens-2" at entry-1 is in progress for 300 ms
    And all links go silent to-server
    And a booking named "swallowed-2" at entry-1 is sent for 10 ms
    Then "lens-2" ends whole
    And "swallowed-2" ends whole or not run
    When all upstreams get work from all entries again
    And a booking named "lens-3" at entry-1 is in progress for 300 ms
    And all links go silent to-client
    And a booking named "swallowed-3" at entry-1 is sent for 10 ms
    Then "lens-3" ends whole
    And "swallowed-3" ends whole or not run
    And "lens-1" ran 1 time
    And "lens-2" ran 1 time
    And "lens-3" ran 1 time
    And all upstreams get work from all entries again
    And every answer is true to the ledgers
