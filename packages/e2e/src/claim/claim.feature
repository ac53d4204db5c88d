Feature: claims over separate processes

  Scenario: a claim takes its shape back from another account
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And crews is guaranteed 1 task with 8 accelerators within 5000 ms
    When weddings submits to entry-1:
      | name  | kind   | runMs |
      | album | render | 8000  |
      | video | render | 8000  |
    And job "album" runs
    And job "video" runs
    And crews claims its shape as "studio" at entry-2
    Then claim "studio" is held in time
    When crews submits to entry-1:
      | name | kind   | runMs | claim  |
      | reel | render | 100   | studio |
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | succeeded | ran | 1      |
    When claim "studio" is released at entry-2
    Then these jobs end:
      | name  | state     | ran |
      | album | succeeded | ran |
      | video | succeeded | ran |
    And one of jobs "album" and "video" of 8000 ms went on from its checkpoint
    And every ledger agrees with every answer

  Scenario: a claim whose victim can't be checkpointed
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And crews is guaranteed 1 task with 8 accelerators within 5000 ms
    And worker-1-1 has the faults {"refuseCheckpoint":true}
    And worker-1-2 has the faults {"refuseCheckpoint":true}
    When weddings submits to entry-1:
      | name  | kind   | runMs |
      | album | render | 8000  |
      | video | render | 8000  |
    And job "album" runs
    And job "video" runs
    And crews claims its shape as "studio" at entry-1
    Then claim "studio" is held in time
    When claim "studio" is released at entry-1
    Then these jobs end:
      | name  | state     | ran |
      | album | succeeded | ran |
      | video | succeeded | ran |
    And one of jobs "album" and "video" of 8000 ms began anew
    And every ledger agrees with every answer

  Scenario: a claim whose worker is lost takes another
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 3 workers in each
    And crews is guaranteed 1 task with 8 accelerators within 15000 ms
    When weddings submits to entry-1:
      | name  | kind   | runMs |
      | album | render | 8000  |
      | video | render | 8000  |
      | proof | render | 8000  |
    And job "album" runs
    And job "video" runs
    And job "proof" runs
    And crews claims its shape as "studio" at entry-1
    And claim "studio" is held in time
    And crews submits to entry-1:
      | name | kind   | runMs | claim  |
      | reel | render | 2000  | studio |
    And job "reel" runs
    And the process of the worker of job "reel" is lost
    Then these jobs end:
      | name  | state     | ran | attempts |
      | reel  | succeeded | ran | 2        |
      | album | succeeded | ran |          |
      | video | succeeded | ran |          |
      | proof | succeeded | ran |          |
    And every ledger agrees with every answer

  Scenario: a claim whose owner is killed while its shape is cleared
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And crews is guaranteed 1 task with 8 accelerators within 15000 ms
    When weddings submits to entry-1:
      | name  | kind   | runMs | checkpointMs |
      | album | render | 6000  | 2000         |
      | video | render | 6000  | 2000         |
    And job "album" runs
    And job "video" runs
    And crews claims its shape as "studio" at the other entry
    And the time line shows "job.evicting"
    And the owner is killed
    Then claim "studio" is held in time
    And these jobs end:
      | name  | state     | ran |
      | album | succeeded | ran |
      | video | succeeded | ran |
    And every ledger agrees with every answer

  Scenario: no job inside its account's claim gives way
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    And crews is guaranteed 1 task with 8 accelerators within 10000 ms
    When crews claims its shape as "studio" at entry-1
    And claim "studio" is held in time
    And crews submits to entry-2:
      | name | kind   | runMs | claim  |
      | reel | render | 6000  | studio |
    And job "reel" runs
    And weddings submits to entry-1:
      | name  | kind  | runMs |
      | video | entry | 3000  |
    And job "video" runs
    And weddings submits to entry-1:
      | name   | kind  | runMs |
      | urgent | proof | 100   |
    Then these jobs end:
      | name   | state     | ran | starts |
      | urgent | succeeded | ran | 1      |
      | video  | succeeded | ran | 1      |
      | reel   | succeeded | ran | 1      |
    And every ledger agrees with every answer
