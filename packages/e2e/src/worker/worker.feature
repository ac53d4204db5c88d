Feature: workers over separate processes

  Scenario: a worker that fails everything is set aside
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 3 workers in each
    And worker-1-1 has the faults {"failAll":true}
    When crews submits 5 times 3 jobs like this to entry-1:
      | name | kind  | runMs |
      | reel | proof | 100   |
    Then worker-1-1 is quarantined after at most 3 failures
    When crews submits 8 jobs like this to entry-1:
      | name | kind  | runMs |
      | late | entry | 200   |
    Then all jobs "late" succeed
    And every ledger agrees with every answer

  Scenario: a poison job has no worker set aside
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits 6 jobs like this to entry-1:
      | name | kind  | runMs |
      | good | proof | 50    |
    Then all jobs "good" succeed
    When crews submits 8 jobs like this to entry-1:
      | name   | kind  | runMs | fail |
      | poison | proof | 20    | true |
    And weddings submits 4 jobs like this to entry-1:
      | name  | kind  | runMs |
      | album | proof | 50    |
    Then all jobs "poison" end
    And all jobs "album" succeed
    When crews submits to entry-1:
      | name | kind  | tasks | runMs |
      | reel | proof | 2     | 100   |
    Then no worker is quarantined
    And these jobs end:
      | name     | state     | ran | starts |
      | reel     | succeeded | ran | 2      |
      | poison-1 | failed    | ran |        |
    And every ledger agrees with every answer

  Scenario: jobs that fit nowhere are refused with numbers, and lies about run times break nothing
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And worker-1-1 has the faults {"lie":10}
    When crews submits to entry-1:
      | name  | kind   | runMs | declaredRunMs |
      | long  | render | 300   | 300           |
      | short | render | 30    | 3000          |
      | next  | render | 100   | 1000          |
    And crews submits to entry-1 until it is refused as "never-fits":
      | name | kind   | accelerators | runMs |
      | huge | render | 9            | 100   |
    Then the refusal names "9 accelerators" and "8 accelerators"
    And all jobs "huge" end
    And these jobs end:
      | name  | state     | ran | starts |
      | long  | succeeded | ran | 1      |
      | short | succeeded | ran | 1      |
      | next  | succeeded | ran | 1      |
    And every ledger agrees with every answer

  Scenario: waiting jobs give way to urgent ones
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When weddings submits 1 jobs like this to entry-1:
      | name  | kind   | runMs |
      | album | render | 60000 |
    And job "album-1" runs
    And weddings submits 5 jobs like this to entry-1:
      | name  | kind   | runMs |
      | print | render | 60000 |
    And crews submits to entry-2:
      | name   | kind  | runMs |
      | urgent | proof | 100   |
    Then these jobs end:
      | name   | state     | ran | attempts |
      | urgent | succeeded | ran | 1        |
    When all jobs "album" are cancelled at once
    And all jobs "print" are cancelled at once
    Then all jobs "album" end
    And all jobs "print" end
    And every ledger agrees with every answer
