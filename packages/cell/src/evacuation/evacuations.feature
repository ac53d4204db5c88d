Feature: an owner's view of evacuations, and how long it stays valid

  Background:
    Given evacuation state that is valid for 1000 ms

  Scenario: nothing is ordered before the first read
    Then a start may not be ordered in hall east at 0 ms

  Scenario: a read without evacuations permits starts for a while
    When a read sent at 0 ms finds no evacuated hall
    Then a start may be ordered in hall east at 900 ms
    And a start may not be ordered in hall east at 1000 ms

  Scenario: a successful write permits starts in the halls that it expected to be open
    When a write sent at 500 ms that expects hall east to be open succeeds
    Then a start may be ordered in hall east at 1400 ms
    And a start may not be ordered in hall west at 600 ms

  Scenario: a write fails because of an evacuation
    When a read sent at 0 ms finds no evacuated hall
    And a write sent at 100 ms that expects hall east to be open finds it evacuated
    Then hall east is known to be evacuated
    And a start may not be ordered in hall east at 200 ms
    And a start may be ordered in hall west at 200 ms

  Scenario: an outdated answer arrives late
    When a write sent at 100 ms that expects hall east to be open finds it evacuated
    And a read sent at 0 ms finds no evacuated hall
    Then hall east is known to be evacuated

  Scenario: a read finds that a hall was reopened
    When a read sent at 0 ms finds that hall east is evacuated
    And a read sent at 400 ms finds no evacuated hall
    Then hall east isn't known to be evacuated
    And a start may be ordered in hall east at 500 ms
