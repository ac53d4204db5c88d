Feature: runners that join, connections that are reset, clocks that jump

  Scenario: what waits starts on an empty runner as soon as it joins
    Given a cell of 2 entries and 1 worker
    When a job of 20 tasks that take 3 s is handed in and all that fit have begun
    And an empty worker joins
    Then tasks of the job run there within 1 s

  Scenario: a start whose connection is reset runs once, whether it was carried out or not
    Given a cell of 2 entries and 3 workers
    And the connections of the next 9 starts on each worker are reset, each second after the start
    When a job of 6 tasks that take 1 s is handed in
    Then it completes
    And no task of it ran on two workers, or twice at a time

  Scenario Outline: occurrences run once each, however the time of day jumps
    Given a cell of 2 entries and 3 workers
    When a job of 4 occurrences, one each 500 ms, is handed in
    And the time of day jumps by <ms> ms after the second and back again
    Then it completes
    And each of its occurrences ran once

    Examples:
      | ms    |
      | 2000  |
      | -2000 |
