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

  Scenario: an entry takes no more than its bound, whatever the runners can carry
    Given an account limiter of capacity 1000 and bound 10 for accounts "a,b"
    When account "a" asks for 8 requests at the limiter
    And the runners' capacity becomes 500 at the limiter
    And account "b" asks for 8 requests at the limiter
    Then the limiter has 2 in progress for "b"
    And the limiter refused as "overloaded" with growing times to come back
    And the limiter's refusals name a bound of 10

  Scenario: refused callers are told to come back at the rate at which requests end
    Given an account limiter of capacity 1000 and bound 10 for accounts "a"
    When 200 requests of account "a" take 1000 ms each at the limiter
    And account "a" asks for 12 requests at the limiter
    Then the limiter's refusals are about 125 ms apart

  Scenario: counts hold for any starts and ends
    Then an account limiter keeps its counts for any starts and ends
