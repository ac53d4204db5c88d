Feature: retries on other workers

  Scenario: a retry goes to another worker than the one that failed it
    Given a scheduler of 2 workers, and a job that fails on one of them
    When the failed job is queued again
    Then its retry is placed on the other worker

  Scenario: a retry waits for another worker rather than fail on the same again
    Given a scheduler of 2 workers, and a job that fails on one of them
    And the other worker is taken
    When the failed job is queued again
    Then its retry is not placed
    When the other worker becomes free
    Then its retry is placed on the other worker

  Scenario: a retry goes to the same worker where no other could take it
    Given a scheduler of 1 worker, and a job that fails on one of them
    When the failed job is queued again
    Then its retry is placed on the same worker
