Feature: retry budget

  Scenario: an account may retry a share of its first attempts
    Given a retry budget with a share of 0.25
    When "film" makes 12 first attempts under the retry budget
    Then the retry budget grants 5 of 20 retries to "film"
    And the retry budget grants 2 of 20 retries to "wedding"

  Scenario: a share of 0 grants no retry
    Given a retry budget with a share of 0
    When "film" makes 30 first attempts under the retry budget
    Then the retry budget grants 0 of 20 retries to "film"
    And the retry budget grants 0 of 20 retries to "wedding"

  Scenario: a share that is set to 0 takes what was saved out of use
    Given a retry budget with a share of 1
    When "film" makes 30 first attempts under the retry budget
    And the retry budget's share becomes 0
    Then the retry budget grants 0 of 20 retries to "film"

  Scenario: a budget keeps the accounts used last
    Given a retry budget with a share of 0.25 for at most 3 accounts
    When the retry budget grants 2 of 20 retries to "film"
    And 4 other accounts and "film" use the retry budget by turns
    Then the retry budget keeps 3 accounts
    And the retry budget grants 1 of 20 retries to "film"
