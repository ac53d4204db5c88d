Feature: the lease of a runner, between the clocks of guard and runner

  Scenario: the deadline is counted from when the contact was sent
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with a lease of 6000 ms
    Then at 2000 the deadline is 11050

  Scenario: without a contact there is no deadline
    Given the runner's clock showed 5000 at 100
    Then at 200 there is no deadline

  Scenario: a lease that has expired gives no deadline
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with a lease of 6000 ms
    Then at 6150 there is no deadline

  Scenario: a lease expires only after the slowest clock and all delays
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with a lease of 6000 ms
    Then at 2000 the deadline is 11050
    And at 6400 the lease has not expired
    And at 6700 the lease has expired

  Scenario: a runner that was passed no lease has none left
    Given the runner's clock showed 5000 at 100
    Then at 200 the lease has expired
