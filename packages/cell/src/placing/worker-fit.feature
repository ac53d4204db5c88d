Feature: fit in all resource dimensions

  Scenario: among workers in use, a task goes where it strands no accelerators
    Given worker 1 has 40 cores, 400 GB and 4 accelerators free
    And worker 2 has 64 cores, 256 GB and 5 accelerators free
    When a task of 1 accelerator and 30 cores is fitted beside tasks of 10 cores
    Then it goes to worker 2

  Scenario: a task goes to a worker in use rather than to a wholly free one
    Given worker 1 has 128 cores, 512 GB and 8 accelerators free
    And worker 2 has 64 cores, 256 GB and 7 accelerators free
    When a task of 1 accelerator and 30 cores is fitted beside tasks of 10 cores
    Then it goes to worker 2

  Scenario: memory counts like cores and accelerators
    Given worker 1 has 64 cores, 480 GB and 5 accelerators free
    And worker 2 has 64 cores, 128 GB and 5 accelerators free
    When a task of 1 accelerator and 10 cores is fitted beside tasks of 10 cores
    Then it goes to worker 2

  Scenario: a gang for one rack goes where it takes no wholly free worker
    Given workers with 8, 8, 4 and 7 free accelerators, two to a rack
    When a gang of 2 tasks of 4 accelerators is fitted on one rack
    Then they are placed on workers 3 and 4

  Scenario Outline: workers kept free follow the demand of the last 20 s: <case>
    Given gangs of <tasks> whole workers for <ms> ms, one each second for <seconds> s
    Then of 30 workers <kept> are kept free <later> s later

    Examples:
      | case                     | tasks | ms   | seconds | later | kept |
      | twice what is held       | 1     | 2000 | 20      | 0     | 4    |
      | at most a fifth          | 9     | 3000 | 20      | 0     | 6    |
      | none after 20 s          | 2     | 3000 | 20      | 20    | 0    |
      | a new owner counts waits | 2     | 3000 | 1       | 0     | 3    |

  Scenario Outline: tasks at once and slack of a wide step: <case>
    Given a step of <waiting> waiting and <running> running tasks of 4 s, at age <age> s, objective <objective> s
    Then it needs <needed> tasks at once and has <slack> s of slack

    Examples:
      | case                | waiting | running | age | objective | needed | slack |
      | two waves are early | 40      | 0       | 0   | 12        | 20     | 4     |
      | a tight objective   | 40      | 0       | 0   | 6         | 40     | 2     |
      | within the first    | 20      | 20      | 2   | 12        | 20     | 4     |
      | late                | 40      | 0       | 9   | 12        | 40     | -1    |
