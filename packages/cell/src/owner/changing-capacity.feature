Feature: runners whose capacity shrinks and grows at run time

  A runner starts whatever it is told to: only the owner keeps it within its capacity.

  Background:
    Given a cell of 2 entries and 1 worker

  Scenario: a runner whose capacity has shrunk is given nothing beyond it
    When its runner reports a capacity of 2 accelerators
    And a job of 5 tasks that take 1 s is submitted
    Then at most 2 of its tasks run at the same time
    And it completes

  Scenario: tasks that run when the capacity shrinks continue, and nothing starts beside them
    When a job of 4 tasks that take 3 s is submitted and all have started
    And its runner reports a capacity of 2 accelerators
    And a job of 1 task that takes 1 s is submitted
    Then the second job starts only after the first has ended
    And its tasks ran once each

  Scenario: a pending job starts as soon as the capacity has grown
    When its runner reports a capacity of 0 accelerators
    And a job of 1 task that takes 1 s is submitted
    And its runner reports a capacity of 8 accelerators
    Then its first run has started within 0.8 s
