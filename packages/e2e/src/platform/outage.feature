Feature: outages of the table

  Scenario: requests go on while the table is down, and daemons take the bundle from peers
    Given a deployment of 2 entries and 2 runners
    When versions are watched
    And the table goes-down
    And 32 requests at once are sent over all entries, the later the shorter
    Then every answer is whole
    And durable jobs are refused at once at every entry, not run
    When a booking named "keyed" with key "k1" at entry-1 is sent while the table is down
    Then "keyed" ends as store-unavailable with ran unknown
    And "keyed" ran 0 times
    When entry-2 is killed
    And entry-2 comes up again
    And guard-runner-1-1 is killed
    And guard-runner-1-1 comes up again
    Then all upstreams get work from all entries again
    And version 1 is in force in every process
    When a booking named "body" at entry-2 is in progress for 10 ms
    Then "body" ends whole
    When the table hangs
    And 32 requests at once are sent over all entries, the later the shorter
    Then no answer is short
    And durable jobs are refused at once at every entry, not run
    When the table comes-back
    Then no job that was refused as not run is there
    When the booking named "keyed" with key "k1" is repeated at entry-2 for 10 ms
    Then "keyed" ends whole
    And "keyed" ran 1 time
    And version 1 is in force in every process
    And no version has fallen
    And every answer is true to the ledgers
