Feature: steps that need the placement advisor's approval run only where it approves

  Scenario: all tasks run where the advisor approves
    Given a cell whose advisor approves worker 2 only
    When a job of 3 tasks that needs approval is submitted
    Then it has completed within 8 s
    And all its runs were on worker 2

  Scenario: a ticket that expired while there was no capacity is renewed
    Given a cell whose advisor approves worker 2 only
    And worker 2 has no free capacity for 2 s
    When a job of 1 task that needs approval is submitted
    Then it has completed within 8 s
    And all its runs were on worker 2

  Scenario: a gang needs tickets for all its runners
    Given a cell whose advisor approves workers 2 and 3
    When a gang of 4 tasks that needs approval is submitted
    Then it has completed within 8 s
    And each of its tasks ran once, as one gang

  Scenario: a run stored by a failed owner gets a ticket from the next owner
    Given a cell whose advisor approves worker 2 only
    And the owner fails as soon as it has stored a run
    When a job of 1 task that needs approval is submitted
    Then it has completed within 12 s
    And all its runs were on worker 2

  Scenario: approval of a step that no runner may run is requested once
    Given a cell whose advisor approves no worker
    When a job of 1 task that needs approval is submitted
    And a second has passed
    Then the advisor was asked once
