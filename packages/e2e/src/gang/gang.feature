Feature: gangs over separate processes

  Scenario: a gang whose worker is lost runs anew, whole
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name | kind   | tasks | runMs  |
      | reel | render | 2     | 120000 |
    And job "reel" runs
    And the process of worker-1-2 is lost
    Then no task of the first attempt of job "reel" runs any more
    When worker-1-2 is started again
    Then job "reel" runs
    When job "reel" is cancelled
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | cancelled | ran | 4      |
    And every ledger agrees with every answer

  Scenario: a gang whose worker is lost before the barrier starts nothing
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And worker-1-2 has the faults {"freeze":true}
    When crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 1000  |
    And job "reel" has 1 task preparing on its worker
    And the process of worker-1-2 is lost
    And worker-1-2 is started again
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: a gang whose guard is killed runs anew, whole
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name | kind   | tasks | runMs  |
      | reel | render | 2     | 120000 |
    And job "reel" runs
    And guard-worker-1-1 is killed
    And guard-worker-1-1 is started again
    Then no task of the first attempt of job "reel" runs any more
    And job "reel" runs
    When job "reel" is cancelled
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | cancelled | ran | 4      |
    And every ledger agrees with every answer

  Scenario: a guard frozen past its lease keeps nothing running
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name | kind   | tasks | runMs  |
      | reel | render | 2     | 120000 |
    And job "reel" runs
    And guard-worker-1-1 is frozen
    And job "reel" has 1 task lapsed on its worker
    And guard-worker-1-1 goes on
    Then no task of the first attempt of job "reel" runs any more
    And job "reel" runs
    When job "reel" is cancelled
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | cancelled | ran | 4      |
    And every ledger agrees with every answer

  Scenario: a guard frozen at the barrier past its lease starts nothing
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And worker-1-2 has the faults {"freeze":true}
    When crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 500   |
    And job "reel" has 1 task preparing on its worker
    And guard-worker-1-1 is frozen
    And job "reel" has 1 task lapsed on its worker
    And worker-1-2 has the faults {}
    And guard-worker-1-1 goes on
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: a gang refused by one worker starts nowhere until it takes it
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When worker-1-2 runs a task of its own on all its accelerators
    And crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 500   |
    And job "reel" has 1 task stopped on its worker
    And job "reel" has started nothing
    And worker-1-2 ends the task of its own
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |

  @proxies
  Scenario: a gang outlives half-open links
    Given a deployment of 1 failure domain with 2 entries and 2 workers in each, whose links pass a proxy
    When crews submits to entry-1:
      | name  | kind  | tasks | accelerators | runMs |
      | reel  | entry | 2     | 4            | 5000  |
    And job "reel" runs
    And the links of guard-worker-1-1 go silent "to-client"
    And the links of guard-worker-1-2 go silent "both"
    And crews submits to entry-1:
      | name  | kind  | tasks | accelerators | runMs |
      | proof | entry | 2     | 4            | 100   |
    And job "proof" runs
    And the links of guard-worker-1-1 go silent "to-server"
    Then these jobs end:
      | name  | state     | ran | starts |
      | proof | succeeded | ran | 2      |
      | reel  | succeeded | ran | 2      |
    And every ledger agrees with every answer
