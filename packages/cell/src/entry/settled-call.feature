Feature: a call is served by whichever entry can use the store

  Scenario: an entry that the store answers asks nobody
    Given an own try that comes to "accepted" after 10 ms
    And another entry that comes to "accepted" after 1 ms
    Then the call comes to "accepted" within 200 ms and nobody else was asked

  Scenario: an own try without an answer is overtaken by another entry
    Given an own try that comes to "unknown" after 2000 ms
    And another entry that comes to "accepted" after 20 ms
    Then the call comes to "accepted" within 600 ms

  Scenario: one of two other entries is enough
    Given an own try that comes to "not-accepted" after 1 ms
    And another entry that comes to "not-accepted" after 1 ms
    And another entry that comes to "accepted" after 50 ms
    Then the call comes to "accepted" within 300 ms

  Scenario: a refusal isn't told while another entry may have accepted
    Given an own try that comes to "not-accepted" after 1 ms
    And another entry that comes to "unknown" after 50 ms
    Then the call comes to "unknown" within 300 ms

  Scenario: without other entries the own answer stands at once
    Given an own try that comes to "not-accepted" after 1 ms
    Then the call comes to "not-accepted" within 200 ms

  Scenario Outline: callers come back the later, the longer the store has been away
    Given a store that has been away for <away> ms
    Then callers are told to come back after <retry> ms

    Examples:
      | away  | retry |
      | 300   | 1000  |
      | 3000  | 1500  |
      | 60000 | 4000  |

  Scenario: five tries outlast an outage of 7 s
    Given a caller whose first try comes 500 ms after the store went away
    Then its fifth try comes more than 7000 ms after the store went away
