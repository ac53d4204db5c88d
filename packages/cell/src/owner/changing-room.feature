Feature: runners whose room shrinks and grows while they run

  The runner itself takes whatever it is told to start: only the owner keeps it within its room.

  Background:
    Given a cell of 2 entries and 1 worker

  Scenario: a runner whose room has shrunk is given nothing beyond it
    When its runner says that it has room for 2 accelerators
    And a job of 5 tasks that take 1 s is handed in
    Then no more than 2 of its tasks ever run at once
    And it completes

  Scenario: what runs when the room shrinks goes on, and nothing joins it
    When a job of 4 tasks that take 3 s is handed in and all have begun
    And its runner says that it has room for 2 accelerators
    And a job of 1 task that takes 1 s is handed in
    Then the second job begins only after the first has ended
    And its tasks ran once each

  Scenario: a job that waits starts as soon as the room has grown
    When its runner says that it has room for 0 accelerators
    And a job of 1 task that takes 1 s is handed in
    And its runner says that it has room for 8 accelerators
    Then its first run has begun within 0.8 s
