Feature: account limiter

  Scenario: one account's burst leaves the others their part
    Given an account limiter of capacity 100 for accounts "a,b,c,d" and 1 entries
    When account "a" asks for 500 requests at the limiter
    Then the limiter has 80 in progress for "a"
    When 60 of account "a" end at the limiter
    And account "b" asks for 40 requests at the limiter
    And account "a" asks for 50 requests at the limiter
    Then the limiter has 40 in progress for "b"
    And the limiter has 50 or fewer in progress for "a"

  Scenario: quotas are divided among entries
    Given an account limiter of capacity 1000 for accounts "a" and 4 entries
    When account "a" asks for 300 requests at the limiter
    Then the limiter has 50 in progress for "a"
    And the limiter refused as "quota-exceeded" with growing times to come back

  Scenario: counts hold for any starts and ends
    Then an account limiter keeps its counts for any starts and ends
