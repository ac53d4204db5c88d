Feature: nothing starts in a failure domain that the operator has evacuated

  Background:
    Given a cell of 2 entries with 2 workers in each of halls east and west

  Scenario: jobs go to what is left of the cell
    Given hall east is evacuated
    When a job of 12 tasks is handed in 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: an owner that can't read evacuations starts nothing there
    Given an owner that can't read evacuations
    And hall east is evacuated
    When a job of 12 tasks is handed in
    Then it completes
    And none of its tasks started in hall east

  Scenario: a new owner starts nothing there
    Given hall east is evacuated
    When the owner is lost
    And a job of 12 tasks is handed in at the other entry
    Then it completes
    And none of its tasks started in hall east

  Scenario: a run that is written down and hasn't reached its guard starts elsewhere
    Given guards in hall east that are out of contact
    When a job of 12 tasks is handed in
    And hall east is evacuated, and its guards are back in contact 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: a start that its runner leaves unanswered is given up
    Given runners in hall east that answer no start
    When a job of 12 tasks is handed in
    And hall east is evacuated, and its runners answer again 900 ms later
    Then it completes
    And none of its tasks started in hall east more than 900 ms after the evacuation

  Scenario: a gang over both halls that hasn't begun starts in one
    Given runners in hall east that answer no start
    When a gang of 3 tasks that needs both halls is handed in
    And hall east is evacuated, and its runners answer again 900 ms later
    And two workers join hall west
    Then it completes
    And all of its tasks ran in hall west at last

  Scenario: what runs there goes on to its end
    When a job of 16 tasks that take 1 s is handed in and has begun in hall east
    And hall east is evacuated
    Then it completes
    And each of its tasks ran once

  Scenario: a hall that was taken back is used again
    Given hall east is evacuated
    When a job of 16 tasks that take 1 s is handed in 600 ms later
    And hall east is taken back
    Then tasks of it have begun in hall east within 1500 ms

  Scenario: everything but one hall is evacuated, and a hall that nobody knows
    Given hall east is evacuated
    And hall nowhere is evacuated
    When a job of 12 tasks is handed in 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: nothing starts while all halls are evacuated, and all does once one is back
    Given hall east is evacuated
    And hall west is evacuated
    When a job of 4 tasks is handed in 600 ms later
    Then nothing of it has begun 700 ms later
    When hall west is taken back
    Then it completes
    And none of its tasks started in hall east
