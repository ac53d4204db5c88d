Feature: owners over separate processes

  Scenario: no accepted job is lost while owners are killed
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits 10 jobs like this to the owner:
      | name | kind  | accelerators | runMs |
      | reel | entry | 4            | 200   |
    And the owner is killed
    And weddings submits 10 jobs like this to the other entry:
      | name  | kind   | accelerators | runMs |
      | album | render | 4            | 200   |
    And the old owner is started again
    And the owner is killed
    And crews submits 4 jobs like this to the other entry:
      | name  | kind  | accelerators | runMs |
      | proof | proof | 4            | 100   |
    And the old owner is started again
    Then all jobs "reel" succeed
    And all jobs "album" succeed
    And all jobs "proof" succeed
    And every ledger agrees with every answer

  Scenario: a planned stop hands the failure domain over and stops no gang
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to the owner:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 3000  |
      | next | entry | 2     | 100   |
    And job "reel" runs
    And the owner is stopped as planned, with exit code 0
    Then the failure domain is taken over
    And these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
      | next | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: an owner killed while the table is down
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to the owner:
      | name | kind   | tasks | runMs |
      | reel | entry  | 2     | 6000  |
      | next | render | 2     | 200   |
    And job "reel" runs
    And platform has the faults {"down":true}
    And the old owner is killed
    And job "reel" has 2 tasks succeeded on its workers
    And the old owner is started again
    And platform has the faults {}
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
      | next | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: an owner and a guard killed at once
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to the owner:
      | name | kind   | tasks | runMs |
      | reel | entry  | 2     | 20000 |
    And job "reel" runs
    And guard-worker-1-1 is killed
    And the owner is killed
    And guard-worker-1-1 is started again
    Then these jobs end:
      | name | state     | ran | attempts | starts |
      | reel | failed    | ran | 1        | 2      |
    When crews submits to the other entry:
      | name | kind   | tasks | runMs |
      | loop | render | 2     | 100   |
    Then these jobs end:
      | name | state     | ran | starts |
      | loop | succeeded | ran | 2      |
    And every ledger agrees with every answer
