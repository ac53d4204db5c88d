@late-starts
Feature: starts that a later incarnation of their runner may carry out

  # The block of such a start was repeated for good at an incarnation that was lost as well, and counted as a start that may still be
  # sent: the lease never counted as lapsed, and the task didn't run again.
  Scenario: blocking a start at an incarnation that is lost for good doesn't hold its run for longer than the start can be late
    Given a start that a runner doesn't answer
    When it is to be blocked at the next incarnation, which doesn't answer either
    Then 14000 ms later the start may still be carried out
    And 16000 ms later it can't be carried out any more
    And the run is still reported as in progress
