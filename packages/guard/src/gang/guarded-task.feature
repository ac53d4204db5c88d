@guarded-task
Feature: a task that its guard drives

  # Calls on different connections overtake each other, and a worker doesn't know a task before its preparation.
  Scenario: a renewal that reached the worker before the preparation doesn't end the task
    Given a guarded task whose preparation is answered after 300 ms
    And its first renewal is answered after 200 ms, as of an unknown task
    When the guarded task is prepared and 600 ms have passed
    Then the guarded task has not ended

  Scenario: a task that its worker has forgotten is over
    Given a guarded task whose preparation is answered after 0 ms
    And its first renewal is answered after 0 ms, as of an unknown task
    When the guarded task is prepared and 600 ms have passed
    Then the guarded task has ended as "lease-lapsed"
