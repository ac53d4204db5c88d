Feature: when enough capacity will be free

  Scenario Outline: the search finds the first time with enough, and goes on at the mean rate after the last
    Given 4 become free at 1000 ms, 2 at 3000 ms and 2 at 2000 ms
    Then <need> are free <steps> ms after 500 ms, or <even> ms if they become free evenly

    Examples:
      | need | steps | even |
      | 0    | 500   | 500  |
      | 4    | 500   | 500  |
      | 5    | 1500  | 1000 |
      | 6    | 1500  | 1500 |
      | 8    | 2500  | 2500 |
      | 16   | 5000  | 5000 |

  # Dividing by an amount of 0 gave a wait of NaN, by which every job counted as served at once.
  Scenario: where nothing becomes free the wait is the longest
    Given nothing becomes free
    Then 1 is free after the longest wait, and 0 at once
