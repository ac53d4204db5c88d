Feature: objective and urgency of a job

  Scenario: the measured duration of a task replaces the estimate for its step
    Given a job of 6 tasks with an estimate of 2 s, a stretch of 1.5 and 250 ms
    Then its objective is 3250 ms
    When one of them took 4 s
    Then its objective is 6250 ms
    And at an age of 11600 ms it is late, but not useless

  Scenario: failed runs count as part of the work
    Given a job of 2 tasks with an estimate of 2 s, a stretch of 1.5 and 250 ms
    When a run of one of its tasks failed
    Then its objective is 6250 ms
