Feature: an unavailable store is detected soon

  Scenario: a store whose calls all fail
    Given a store whose calls fail at once
    When it is called at 0, 150 and 300 ms
    Then it counts as unavailable
    When a call at 600 ms is answered
    Then it doesn't count as unavailable

  Scenario: calls that fail together with their connection
    Given a store whose calls fail at once
    When it is called at 0, 1 and 2 ms
    Then it doesn't count as unavailable

  Scenario: a call that is answered between two that fail
    Given a store whose calls fail at once
    When it is called at 0 and 150 ms
    And a call at 200 ms is answered
    And it is called at 300 and 450 ms
    Then it doesn't count as unavailable
