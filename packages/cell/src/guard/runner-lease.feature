Feature: authority to keep tasks, between the clocks of guard and runner

  Scenario: the deadline is counted from when the contact was sent
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with 6000 ms
    Then at 2000 the deadline is 11050

  Scenario: without a contact there is no deadline
    Given the runner's clock showed 5000 at 100
    Then at 200 there is no deadline

  Scenario: authority that is over gives no deadline
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with 6000 ms
    Then at 6150 there is no deadline

  Scenario: a lease is over only after the slowest clock and delays
    Given the runner's clock showed 5000 at 100
    When a contact sent at 150 is answered with 6000 ms
    Then at 2000 the deadline is 11050
    And at 6400 the lease is not over
    And at 6700 the lease is over
