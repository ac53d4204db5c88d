Feature: a lost failure domain over separate processes

  Scenario: jobs that wait in a lost failure domain run in another one
    Given a deployment of 2 failure domains with 3 entries, 0 runners and 2 workers in each
    When crews submits 16 jobs like this to entry-2:
      | name    | kind   | accelerators | runMs |
      | backlog | render | 8            | 2000  |
    And entry-1 is killed
    And entry-3 is killed
    And worker-1-1 is killed
    And worker-1-2 is killed
    And guard-worker-1-1 is killed
    And guard-worker-1-2 is killed
    Then all jobs "backlog" succeed
    And the time line shows "job.moved"
    When crews submits 4 jobs like this to entry-2:
      | name  | kind   | accelerators | runMs |
      | later | render | 8            | 300   |
    Then all jobs "later" succeed
