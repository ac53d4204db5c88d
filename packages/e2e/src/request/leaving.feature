Feature: upstreams and entries that leave

  Scenario: a leaving runner gets nothing new from any entry
    Given a deployment of 2 entries and 4 runners
    When requests go on at entry-1
    And requests go on at entry-2
    And runner-1-1 has had work
    And runner-1-2 has had work
    And runner-1-3 has had work
    And guard-runner-1-1 gets SIGTERM
    Then guard-runner-1-1 exits 0
    When what runner-1-1 has started is noted
    And runner-1-2 withdraws from its guard
    And what runner-1-2 has started is noted
    And runner-1-3 is drained by the bundle
    And what runner-1-3 has started is noted
    And 40 more requests of each have been answered
    Then runner-1-1 has started nothing since
    And runner-1-2 has started nothing since
    And runner-1-3 has started nothing since
    When the requests that go on have ended
    Then every answer is whole
    And every answer is true to the ledgers

  Scenario: an entry stopped under load cuts nothing
    Given a deployment of 2 entries and 2 runners
    When requests go on at entry-2
    And a booking named "lens" at entry-1 is in progress for 1200 ms
    And a match named "face" at entry-1 is in progress for 1200 ms
    And entry-1 gets SIGTERM
    Then entry-1 says that it is not ready
    When a booking named "late" at entry-1 is sent for 10 ms
    Then "late" ends as draining with ran not-run
    And "lens" ends whole
    And "face" ends whole
    And entry-1 exits 0
    When 10 more requests of each have been answered
    And the requests that go on have ended
    Then every answer is true to the ledgers
