Feature: work measured against the workers that do it

  Scenario Outline: a task counts by the scarcest resource that it takes
    Given workers of 128 cores, 512 GB and 8 accelerators
    Then a task of <accelerators> accelerators, <cores> cores and <gb> GB counts as <equivalents> accelerators

    Examples:
      | accelerators | cores | gb  | equivalents |
      | 1            | 11    | 59  | 1           |
      | 1            | 52    | 210 | 3.28        |
      | 8            | 52    | 210 | 8           |
      | 0            | 16    | 1   | 1           |
      | 1            | 1     | 256 | 4           |

  Scenario: the same task counts for more on workers with fewer cores
    Given workers of 32 cores, 512 GB and 8 accelerators
    Then a task of 1 accelerators, 11 cores and 59 GB counts as 2.75 accelerators

  Scenario: a task larger than any worker counts as a whole worker
    Given workers of 8 cores, 512 GB and 8 accelerators
    Then a task of 1 accelerators, 52 cores and 59 GB counts as 8 accelerators

  Scenario: before any worker is known a task counts by its accelerators
    Given no known workers
    Then a task of 2 accelerators, 52 cores and 59 GB counts as 2 accelerators
