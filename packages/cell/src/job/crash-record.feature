Feature: failing a job whose task crashes its runners

  Scenario Outline: crashes during the runs of one task
    Given a <lasting or finite> task
    When <runners> crash during its runs, aged <ages> ms
    Then its job is <failed or open>

    Examples:
      | lasting or finite | runners           | ages                         | failed or open |
      | finite            | runners           | 10                           | open           |
      | finite            | runners           | 10 and 10                    | failed         |
      | finite            | restarted runners | 10 and 10                    | open           |
      | finite            | restarted runners | 10, 10, 10 and 10            | failed         |
      | finite            | runners           | 10, 4000 and 10              | open           |
      | finite            | runners           | 5000, 5000 and 5000          | open           |
      | finite            | runners           | 5000, 20, 5000 and 20        | failed         |
      | lasting           | runners           | 10 and 10                    | failed         |
      | lasting           | restarted runners | 10, 10, 10 and 10            | failed         |
      | lasting           | runners           | 9000, 9000, 9000, 9000, 9000 | open           |

  # Guards against failing jobs that were merely started twice each next to a job that crashed its runners.
  Scenario Outline: crashes next to tasks of other jobs that are as young
    Given a finite task
    When runners crash during its runs, aged <ages> ms, next to other jobs' runs of the same age
    And runners crash during its runs, aged <ages alone> ms
    Then its job is <failed or open>

    Examples:
      | ages              | ages alone | failed or open |
      | 10 and 10         | 5000       | open           |
      | 10                | 10         | open           |
      | 10                | 10 and 10  | failed         |
      | 10, 10, 10 and 10 | 10         | failed         |

  Scenario: a crash that is reported repeatedly counts once
    Given a finite task
    When the crash during one run of 10 ms is reported 5 times
    Then its job is open

  Scenario: a crash that is reported after the next run has started counts
    Given a finite task
    When its run is lost, the next one starts, and the crash during the first is reported
    Then 1 crash is counted

  Scenario Outline: which runs may have caused a crash
    Given a runner that crashed during runs of <ages> ms
    Then those of <suspects> ms are suspects

    Examples:
      | ages              | suspects      |
      | 8000, 10 and 4000 | 10            |
      | 8000, 10 and 40   | 10 and 40     |
      | 8000 and 4000     | 8000 and 4000 |
