Feature: when a task is given up because runners crash under it

  Scenario Outline: crashes under one task
    Given a task that <lasts or ends>
    When runners crash under its runs, which were <ages> ms old
    Then its job <has or hasn't> failed by it

    Examples:
      | lasts or ends | ages                         | has or hasn't |
      | ends          | 10                           | hasn't        |
      | ends          | 10 and 10                    | has           |
      | ends          | 10, 4000 and 10              | hasn't        |
      | ends          | 5000, 5000, 5000 and 5000    | hasn't        |
      | ends          | 5000, 20, 5000, 20 and 5000  | has           |
      | lasts         | 10 and 10                    | has           |
      | lasts         | 9000, 9000, 9000, 9000, 9000 | hasn't        |

  Scenario: a crash that is told again counts once
    Given a task that ends
    When the crash under one run of 10 ms is told 5 times
    Then its job hasn't failed by it

  Scenario: a crash that is told after the next run has begun counts
    Given a task that ends
    When its run is lost, the next one starts, and the crash under the first is told
    Then 1 crash is counted
