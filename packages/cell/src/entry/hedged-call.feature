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

  # The entry's own write was stored, its answer was lost, and another entry had the next configuration: the client was told that its job
  # isn't accepted, and the job ran.
  Scenario Outline: a write isn't rejected by the rules of one entry while an attempt may take effect
    Given a write with a local attempt that returns "<local>" after 700 ms
    And another entry that returns "<rejection>" after 1 ms
    And another entry that returns "<other>" after 600 ms
    Then the call returns "<answer>" within 2500 ms

    Examples:
      | local             | rejection         | other        | answer            |
      | accepted          | not-authenticated | not-accepted | accepted          |
      | accepted          | no-such-queue     | not-accepted | accepted          |
      | unknown           | not-authenticated | not-accepted | unknown           |
      | not-accepted      | no-such-queue     | unknown      | unknown           |
      | not-accepted      | not-authenticated | accepted     | accepted          |
      | not-accepted      | not-authenticated | not-accepted | not-authenticated |
      | not-authenticated | not-accepted      | unknown      | unknown           |
      | accepted          | bad-input         | not-accepted | accepted          |

  Scenario: a read is rejected at once by the rules of another entry
    Given a local attempt that returns "unknown" after 2000 ms
    And another entry that returns "not-authenticated" after 1 ms
    Then the call returns "not-authenticated" within 600 ms

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
