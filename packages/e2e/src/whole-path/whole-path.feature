Feature: whole path over separate processes

  Scenario: requests through every entry
    Given a deployment of 3 failure domains with 2 entries, 1 runner and 1 worker in each
    When weddings sends a match request named "first" to entry-1 that takes 5 ms
    And weddings sends a match request named "second" to entry-2 that takes 5 ms
    Then "first" is answered whole
    And "second" is answered whole

  Scenario: a gang over two workers, asked about at another entry
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits a render job named "reel" of 2 tasks with 8 accelerators to entry-1 that runs 100 ms
    And crews waits at entry-2 until job "reel" has ended
    Then job "reel" has succeeded

  Scenario: a running gang outlives the entry that placed it
    Given a deployment of 1 failure domain with 2 entries, 0 runners and 2 workers in each
    When crews submits a render job named "reel" of 2 tasks with 8 accelerators to entry-2 that runs 3000 ms
    And entry-1 is killed
    And crews waits at entry-2 until job "reel" has ended
    Then job "reel" has succeeded
