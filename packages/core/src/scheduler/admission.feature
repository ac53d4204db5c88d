Feature: job admission

  Scenario: a full queue refuses with the time until there is room
    Given 100 jobs wait where 100 may, and 1 leaves every 500 ms
    Then job admission refuses as "overloaded" with 500 ms to come back

  Scenario: an account at its quota is refused with its own time
    Given 10 jobs wait where 100 may, and 1 leaves every 500 ms
    And the account has 5 of 5 jobs waiting
    Then job admission refuses as "quota-exceeded" with 500 ms to come back

  Scenario: a contract out of reach is said early
    Given 10 jobs wait where 100 may, and 1 leaves every 500 ms
    And a contract of 6000 ms with 5000 ms to wait and 2000 ms to run
    Then job admission says 7000 ms are expected

  Scenario: the drain rate is right from the start
    Then a drain of one job every 250 ms is measured within 5 percent after 10000 ms
