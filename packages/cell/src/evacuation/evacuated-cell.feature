Feature: nothing starts in a failure domain that the operator has evacuated

  Background:
    Given a cell of 2 entries with 2 workers in each of halls east and west

  Scenario: jobs run in the rest of the cell
    Given hall east is evacuated
    When a job of 12 tasks is submitted 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: an owner that can't read evacuations starts nothing there
    Given an owner that can't read evacuations
    And hall east is evacuated
    When a job of 12 tasks is submitted
    Then it completes
    And none of its tasks started in hall east

  Scenario: a new owner starts nothing there
    Given hall east is evacuated
    When the owner is lost
    And a job of 12 tasks is submitted at the other entry
    Then it completes
    And none of its tasks started in hall east

  Scenario: a stored run whose start hasn't reached its guard starts elsewhere
    Given guards in hall east that are out of contact
    When a job of 12 tasks is submitted
    And hall east is evacuated, and its guards are back in contact 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: a start that its runner doesn't answer is withdrawn
    Given runners in hall east that do not answer starts
    When a job of 12 tasks is submitted
    And hall east is evacuated, and its runners answer again 900 ms later
    Then it completes
    And none of its tasks started in hall east more than 900 ms after the evacuation

  Scenario: a gang placed across both halls that hasn't started runs in one
    Given runners in hall east that do not answer starts
    When a gang of 3 tasks that needs both halls is submitted
    And hall east is evacuated, and its runners answer again 900 ms later
    And two workers join hall west
    Then it completes
    And the last run of the gang was entirely in hall west

  Scenario: runs that have started there run to their end
    When a job of 16 tasks that take 1 s is submitted and has started in hall east
    And hall east is evacuated
    Then it completes
    And each of its tasks ran once

  Scenario: a reopened hall is used again
    Given hall east is evacuated
    When a job of 16 tasks that take 1 s is submitted 600 ms later
    And hall east is reopened
    Then some of its tasks have started in hall east within 1500 ms

  Scenario: one hall is left, and an unknown hall is evacuated as well
    Given hall east is evacuated
    And hall nowhere is evacuated
    When a job of 12 tasks is submitted 600 ms later
    Then it completes
    And none of its tasks started in hall east

  Scenario: nothing starts while all halls are evacuated, and everything once one is reopened
    Given hall east is evacuated
    And hall west is evacuated
    When a job of 4 tasks is submitted 600 ms later
    Then none of its tasks has started 700 ms later
    When hall west is reopened
    Then it completes
    And none of its tasks started in hall east
