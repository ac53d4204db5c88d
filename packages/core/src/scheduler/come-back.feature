Feature: when to come back to a full queue

  Scenario: a refusal at the quota of queued jobs follows the rate at which they start
    Given a scheduler of 1 worker whose account "guests" may queue 4 jobs
    And one of its jobs has started every 20 s for an hour
    When it submits one more than may wait
    Then the last submission is refused as "quota-exceeded" with 15 s to 25 s to come back

  Scenario: an account whose jobs don't start isn't told to come back soon
    Given a scheduler of 1 worker whose account "guests" may queue 4 jobs
    And its worker is taken for hours
    When it submits one more than may wait
    Then the last submission is refused as "quota-exceeded" with 600 s to 3600 s to come back
