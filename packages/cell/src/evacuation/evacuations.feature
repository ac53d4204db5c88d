Feature: what an owner knows of evacuations, and how well

  Background:
    Given evacuations that are known for 1000 ms

  Scenario: nothing is ordered before anything is known
    Then nothing may be ordered in hall east at 0 ms

  Scenario: a read says that nothing is evacuated, for a while
    When a read sent at 0 ms tells of no hall
    Then something may be ordered in hall east at 900 ms
    And nothing may be ordered in hall east at 1000 ms

  Scenario: a write that was done says so too, of the halls that it named
    When a write sent at 500 ms that named hall east is done
    Then something may be ordered in hall east at 1400 ms
    And nothing may be ordered in hall west at 600 ms

  Scenario: a write that met an evacuation
    When a read sent at 0 ms tells of no hall
    And a write sent at 100 ms that named hall east meets its row
    Then hall east is known as evacuated
    And nothing may be ordered in hall east at 200 ms
    And something may be ordered in hall west at 200 ms

  Scenario: an answer that was asked for earlier comes later
    When a write sent at 100 ms that named hall east meets its row
    And a read sent at 0 ms tells of no hall
    Then hall east is known as evacuated

  Scenario: a read tells of a hall that was taken back
    When a read sent at 0 ms tells of hall east
    And a read sent at 400 ms tells of no hall
    Then hall east isn't known as evacuated
    And something may be ordered in hall east at 500 ms
