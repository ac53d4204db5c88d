Feature: jobs over separate processes

  Scenario: a job that may run once is started once, whenever its owner is killed
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to the owner:
      | name  | kind  | runMs |
      | early | entry | 300   |
    And the owner is killed
    Then these jobs end:
      | name  | state     | ran | starts |
      | early | succeeded | ran | 1      |
    When the old owner is started again
    And worker-1-2 has the faults {"freeze":true}
    And crews submits to the owner:
      | name     | kind  | tasks | runMs |
      | reserved | entry | 2     | 300   |
    And job "reserved" has 1 task preparing on its worker
    And the owner is killed
    And worker-1-2 has the faults {}
    Then these jobs end:
      | name     | state     | ran | starts |
      | reserved | succeeded | ran | 2      |
    When the old owner is started again
    And crews submits to the owner:
      | name    | kind  | tasks | runMs |
      | running | entry | 2     | 3000  |
    And job "running" runs
    And the owner is killed
    Then these jobs end:
      | name    | state     | ran | starts |
      | running | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: an owner frozen past its lease starts nothing a second time
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And worker-1-2 has the faults {"freeze":true}
    When crews submits to the owner:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 500   |
    And job "reel" has 1 task preparing on its worker
    And the old owner is frozen
    Then the failure domain is taken over
    And worker-1-2 has the faults {}
    When crews submits to the other entry:
      | name  | kind  | runMs |
      | proof | entry | 300   |
    And the old owner goes on
    Then these jobs end:
      | name  | state             | ran          | starts |
      | reel  | succeeded\|failed | ran\|unknown | 0\|2   |
      | proof | succeeded         | ran          | 1      |
    And the time line shows "lease.lost"
    And every ledger agrees with every answer

  Scenario: answers of the table lost around the start are settled
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And worker-1-2 has the faults {"slowMs":1500}
    When crews submits to the owner:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 300   |
    And job "reel" has 1 task preparing on its worker
    And platform has the faults {"loseAnswers":6}
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
    When crews submits to the owner:
      | name  | kind  | tasks | runMs |
      | proof | entry | 2     | 300   |
    And job "proof" has 1 task preparing on its worker
    And platform has the faults {"loseWrites":6}
    Then these jobs end:
      | name  | state     | ran | starts |
      | proof | succeeded | ran | 2      |
    And every ledger agrees with every answer

  Scenario: a job that may run once isn't started again after its guard or worker was lost
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 20000 |
    And job "reel" runs
    And guard-worker-1-2 is killed
    And guard-worker-1-2 is started again
    Then these jobs end:
      | name | state  | ran | attempts | starts |
      | reel | failed | ran | 1        | 2      |
    When crews submits to entry-1:
      | name  | kind  | tasks | runMs |
      | proof | entry | 2     | 20000 |
    And job "proof" runs
    And the process of worker-1-1 is lost
    And worker-1-1 is started again
    Then these jobs end:
      | name  | state  | ran | starts |
      | proof | failed | ran | 2      |
    And every ledger agrees with every answer

  Scenario: what is cancelled and told not run never ran
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When weddings submits 40 jobs like this to entry-1:
      | name  | kind  | accelerators | runMs |
      | album | entry | 2            | 400   |
    And all jobs "album" are cancelled at once
    And crews submits to entry-2:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 100   |
    Then all jobs "album" end
    And some jobs "album" were told not run
    And these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
    When platform has the faults {"loseAnswers":20}
    And weddings submits 12 jobs like this to entry-2, come what may:
      | name  | kind  | accelerators | runMs |
      | video | entry | 2            | 300   |
    And platform has the faults {}
    And all jobs "video" are cancelled at once
    Then all jobs "video" end
    And every ledger agrees with every answer

  Scenario: a repeated submission is the same job at every entry
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name  | kind  | runMs | key   |
      | first | entry | 200   | crew1 |
    And crews tries to submit to entry-2:
      | name   | kind  | runMs | key   |
      | repeat | entry | 200   | crew1 |
      | other  | entry | 300   | crew1 |
    Then "first" and "repeat" are one job
    And "other" is refused as "key-reused", "not-run"
    When platform has the faults {"loseAnswers":1}
    And crews tries to submit to entry-1:
      | name | kind  | runMs | key   |
      | lost | entry | 200   | crew2 |
    And crews tries to submit to entry-2:
      | name  | kind  | runMs | key   |
      | again | entry | 200   | crew2 |
    Then "lost" and "again" are one job
    And these jobs end:
      | name  | state     | ran | starts |
      | first | succeeded | ran | 1      |
      | lost  | succeeded | ran | 1      |
    And every ledger agrees with every answer

  Scenario: jobs during an outage of the table are refused truthfully, and accepted ones are kept
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | entry | 2     | 2500  |
    And job "reel" runs
    And weddings submits 4 jobs like this to entry-2:
      | name  | kind  | runMs |
      | album | entry | 200   |
    And platform has the faults {"down":true}
    And crews tries to submit to entry-1:
      | name  | kind  | runMs |
      | proof | entry | 100   |
    Then "proof" is refused as "store-unavailable", "not-run"
    And job "reel" has 2 tasks succeeded on its workers
    When platform has the faults {"slowMs":250}
    And crews submits to entry-2 until it is accepted:
      | name | kind  | runMs |
      | slow | entry | 100   |
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 2      |
      | slow | succeeded | ran | 1      |
    And all jobs "album" succeed
    And every ledger agrees with every answer
