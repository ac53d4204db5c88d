Feature: joining runners, reset connections and clock jumps

  Scenario: pending tasks start on an empty runner as soon as it joins
    Given a cell of 2 entries and 1 worker
    When a job of 20 tasks that take 3 s is submitted and all that fit have started
    And an empty worker joins
    Then tasks of the job run there within 1 s

  Scenario: a task whose start request is reset runs once, whether the start was carried out or not
    Given a cell of 2 entries and 3 workers
    And the connections of the next 9 starts on each worker are reset, every second one after its start
    When a job of 6 tasks that take 1 s is submitted
    Then it completes
    And none of its tasks ran more than once

  Scenario Outline: each occurrence runs once, however the wall clock jumps
    Given a cell of 2 entries and 3 workers
    When a job of 4 occurrences, one every 500 ms, is submitted
    And the wall clock jumps by <ms> ms after the second start, and later back
    Then it completes
    And each of its occurrences ran once

    Examples:
      | ms    |
      | 2000  |
      | -2000 |
