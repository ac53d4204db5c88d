Feature: the platform's program keeps its promises under random faults

  The seeds that ever failed stand here with their causes; `npm run soak` plays fresh ones.

  Scenario: a short run
    When the faults of seed 1 strike for 8 s
    Then no promise is broken

  Scenario: a short run while failure domains are evacuated
    When the faults of seed 3 strike for 8 s, while failure domains are evacuated
    Then no promise is broken

  # 236 and 238: jobs that fail wherever they run closed all workers for up to 40 s each: nothing was placed for 45 s.
  Scenario Outline: seeds that failed
    When the faults of seed <seed> strike for 12 s
    Then no promise is broken

    Examples:
      | seed |
      | 236  |
      | 238  |

  Scenario: a short run with tasks that crash their runners
    When the faults of seed 2 strike for 8 s, and each fourth job crashes its runners
    Then no promise is broken

  # 28001: a task went on crashing runners, as crashes of lives that weren't known yet weren't counted. 28005: a job was given up that
  # had just been started beside a crashing one, twice. 28008: an end on a new life was confirmed before it was read.
  Scenario Outline: seeds that failed with tasks that crash their runners
    When the faults of seed <seed> strike for 12 s, and each fifth job crashes its runners
    Then no promise is broken

    Examples:
      | seed  |
      | 28001 |
      | 28005 |
      | 28008 |
