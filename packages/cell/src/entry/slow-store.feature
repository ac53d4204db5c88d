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

  # Each acceptance took a turn of its own, of three that the store gave a second: the first of eight jobs took 1.4 s to be accepted.
  Scenario: jobs that come together are accepted together
    Given a store that answers after 150 ms and carries out one transaction after the other, each in 330 ms
    When 8 jobs are handed in 60 ms apart, at different entries
    Then each was accepted within 1200 ms
    And all of them complete
    And each had begun within 2000 ms

  Scenario: a job that is handed over twice at once runs once
    When the same job is handed in at all entries at once
    Then it completes
    And each run was started once

  Scenario: jobs are accepted and run once while answers to the owner's writes are lost
    Given every second answer to a write of the owner is lost for 4 s
    When 3 jobs are handed in 400 ms apart, at different entries
    Then each of them completes
    And each run was started once

  Scenario Outline: an owner that can't accept isn't waited for
    When <the owner> and a job is handed in at another entry
    Then it completes
    And each run was started once

    Examples:
      | the owner                       |
      | the owner is cut from the store |
      | the owner is lost               |
