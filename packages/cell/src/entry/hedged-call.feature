Feature: a call is served by whichever entry can use the store

  Scenario: an entry that can use the store calls no other entry
    Given a local attempt that returns "accepted" after 10 ms
    And another entry that returns "accepted" after 1 ms
    Then the call returns "accepted" within 200 ms and no other entry was called

  Scenario: another entry answers instead of a local attempt that takes too long
    Given a local attempt that returns "unknown" after 2000 ms
    And another entry that returns "accepted" after 20 ms
    Then the call returns "accepted" within 600 ms

  Scenario: one of two other entries is enough
    Given a local attempt that returns "not-accepted" after 1 ms
    And another entry that returns "not-accepted" after 1 ms
    And another entry that returns "accepted" after 50 ms
    Then the call returns "accepted" within 300 ms

  Scenario: a refusal isn't returned if another entry may have accepted
    Given a local attempt that returns "not-accepted" after 1 ms
    And another entry that returns "unknown" after 50 ms
    Then the call returns "unknown" within 300 ms

  Scenario: without other entries the local answer is returned at once
    Given a local attempt that returns "not-accepted" after 1 ms
    Then the call returns "not-accepted" within 200 ms

  Scenario Outline: the retry delay grows with the length of the outage
    Given a store that has been unavailable for <outage> ms
    Then callers are told to retry after <retry> ms

    Examples:
      | outage | retry |
      | 300    | 1000  |
      | 3000   | 1500  |
      | 60000  | 4000  |

  Scenario: five attempts outlast an outage of 7 s
    Given a caller whose first attempt comes 500 ms after the start of the outage
    Then its fifth attempt comes more than 7000 ms after the start of the outage
