Feature: which contacts extend the lease of a worker

  Scenario Outline: a contact of a guard <that reports what>
    Given a worker whose lease ends in 1000 ms
    When its guard makes a contact <that reports what>
    Then its lease <is extended or not>

    Examples:
      | that reports what                         | is extended or not |
      | with a runner                             | is extended        |
      | without a runner                          | is not extended    |
      | without a runner, with a start on its way | is extended        |

  # What a guard passed on under an earlier owner isn't known to the present one.
  Scenario: the first contact without a runner extends the lease
    Given a worker that has not made contact
    When its guard makes a contact without a runner
    Then its lease is extended
    And the guard may pass nothing on
