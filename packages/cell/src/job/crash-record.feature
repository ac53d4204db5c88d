Feature: when a task is given up because runners crash under it

  Scenario Outline: crashes under one task
    Given a task that <lasts or ends>
    When <runners> crash under its runs, which were <ages> ms old
    Then its job <has or hasn't> failed by it

    Examples:
      | lasts or ends | runners       | ages                         | has or hasn't |
      | ends          | runners       | 10                           | hasn't        |
      | ends          | runners       | 10 and 10                    | has           |
      | ends          | fresh runners | 10 and 10                    | hasn't        |
      | ends          | fresh runners | 10, 10, 10 and 10            | has           |
      | ends          | runners       | 10, 4000 and 10              | hasn't        |
      | ends          | runners       | 5000, 5000 and 5000          | hasn't        |
      | ends          | runners       | 5000, 20, 5000 and 20        | has           |
      | lasts         | runners       | 10 and 10                    | has           |
      | lasts         | fresh runners | 10, 10, 10 and 10            | has           |
      | lasts         | runners       | 9000, 9000, 9000, 9000, 9000 | hasn't        |

  # Two jobs were started beside one that crashed its runners, twice each, and were given up with it.
  Scenario Outline: crashes with tasks of other jobs beside it that are as young
    Given a task that ends
    When runners crash under its runs, which were <ages> ms old, beside others as young
    And runners crash under its runs, which were <ages alone> ms old
    Then its job <has or hasn't> failed by it

    Examples:
      | ages              | ages alone | has or hasn't |
      | 10 and 10         | 5000       | hasn't        |
      | 10                | 10         | hasn't        |
      | 10                | 10 and 10  | has           |
      | 10, 10, 10 and 10 | 10         | has           |

  Scenario: a crash that is told again counts once
    Given a task that ends
    When the crash under one run of 10 ms is told 5 times
    Then its job hasn't failed by it

  Scenario: a crash that is told after the next run has begun counts
    Given a task that ends
    When its run is lost, the next one starts, and the crash under the first is told
    Then 1 crash is counted

  Scenario Outline: who is blamed
    Given a runner that crashed under runs of <ages> ms
    Then those of <blamed> ms are blamed

    Examples:
      | ages              | blamed        |
      | 8000, 10 and 4000 | 10            |
      | 8000, 10 and 40   | 10 and 40     |
      | 8000 and 4000     | 8000 and 4000 |
