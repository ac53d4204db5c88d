Feature: wide jobs of small tasks leave workers free for groups that need whole ones

  Single tasks of wide jobs lay over most of the workers, so that urgent gangs of whole workers waited for seconds.

  Scenario Outline: <case>
    Given a service of 12 workers, <used> of them in use
    And a gang of 3 whole workers for 10 s that arrived <ago> s ago
    And a waiting <kind> of priority <priority> and age <age> s with 40 tasks of one accelerator for 4 s
    When small tasks are placed with the part "<part>"
    Then <started> of the tasks start

    Examples:
      | case                                            | kind | used | ago | priority | age | part | started |
      | two workers are kept, three are opened          | job  | 7    | 1   | 2        | 0   | auto | 24      |
      | no demand for 20 s                              | job  | 7    | 21  | 2        | 0   | auto | 40      |
      | an urgent job is not limited                    | job  | 7    | 1   | 0        | 0   | auto | 40      |
      | a job without slack takes what there is         | job  | 7    | 1   | 2        | 9   | auto | 40      |
      | with the part off all workers are taken         | job  | 7    | 1   | 2        | 0   | off  | 40      |
      | a gang for which only kept workers are left     | gang | 7 | 1 | 1 | 0 | auto | 0 |

  Scenario Outline: a service with <free> accelerators free on each of 12 workers starts <started> tasks of a wide job
    Given a service of 12 workers with <free> accelerators free on each
    And a gang of 3 whole workers for 10 s that arrived 1 s ago
    And a waiting job of priority 2 and age 0 s with 40 tasks of one accelerator for 4 s
    When small tasks are placed with the part "auto"
    Then <started> of the tasks start

    Examples: until half of the accelerators are in use nothing waits, beyond that as many run as the objective needs
      | free | started |
      | 7    | 36      |
      | 4    | 20      |

  # Placed in parts, each part within the limit, 24 tasks started in one pass, two on a worker.
  Scenario: a limit of tasks per worker holds
    Given a service of 12 workers, 0 of them in use
    And a gang of 3 whole workers for 10 s that arrived 1 s ago
    And a waiting job of priority 2 and age 0 s with 40 tasks of one accelerator for 4 s
    And at most one of its tasks may run on each worker
    When small tasks are placed with the part "auto"
    Then 12 of the tasks start

  Scenario: deferred tasks are logged and counted once per second
    When 3 passes defer tasks of a job, 500 ms apart
    Then 2 deferrals are logged and counted
