Feature: a store on which transactions take their turns and each takes long is left to those that count

  Background:
    Given a cell of 3 entries and 2 workers
    And a store that answers after 200 ms and carries out one transaction after the other, each in 145 ms

  Scenario: jobs are accepted, begin and complete
    When 4 jobs are handed in 400 ms apart, at different entries
    Then each was accepted within 1200 ms
    And all of them complete
    And each had begun within 2000 ms

  Scenario: the owner's heartbeats leave turns to others
    When nothing is handed in for 3 s
    Then no more than 8 transactions were asked for in this time
    And the cell has the owner that it had

  Scenario: the owner keeps the cell when the store is fast again
    Given a store that answers after 200 ms and carries out one transaction after the other, each in 500 ms
    When nothing is handed in for 3 s
    And the store is as fast as usual for 2 s
    Then the cell has the owner that it had

  Scenario: a call that the store answers late isn't served by others as well
    When a job is handed in
    Then the store was asked to accept it once
