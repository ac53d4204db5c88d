Feature: a slow store that executes transactions one at a time isn't given needless ones

  Background:
    Given a cell of 3 entries and 2 workers
    And a store that answers after 200 ms and executes one transaction at a time, each in 145 ms

  Scenario: jobs are accepted, start and complete
    When 4 jobs are submitted 400 ms apart, at different entries
    Then each was accepted within 1200 ms
    And all of them complete
    And each started within 2000 ms

  Scenario: the owner's heartbeats leave the store free for other transactions
    When nothing is submitted for 3 s
    Then no more than 8 transactions were requested in this time
    And the cell has the same owner as before

  Scenario: the owner keeps the cell when the store is fast again
    Given a store that answers after 200 ms and executes one transaction at a time, each in 500 ms
    When nothing is submitted for 3 s
    And the store is as fast as usual for 2 s
    Then the cell has the same owner as before

  Scenario: a call that the store answers late isn't forwarded to other entries
    When a job is submitted
    Then the store was asked to accept it once

  # With a transaction for each acceptance, of which the store executed three a second, the first of eight jobs took 1.4 s to be accepted.
  Scenario: jobs that are submitted together are accepted together
    Given a store that answers after 150 ms and executes one transaction at a time, each in 330 ms
    When 8 jobs are submitted 60 ms apart, at different entries
    Then each was accepted within 1200 ms
    And all of them complete
    And each started within 2000 ms

  Scenario: a job that is submitted at several entries at once runs once
    When the same job is submitted at all entries at once
    Then it completes
    And each run was started once

  Scenario: jobs are accepted and run once while answers to the owner's writes are lost
    Given every second answer to a write of the owner is lost for 4 s
    When 3 jobs are submitted 400 ms apart, at different entries
    Then each of them completes
    And each run was started once

  Scenario Outline: an owner that can't accept isn't waited for
    When <the owner> and a job is submitted at another entry
    Then it completes
    And each run was started once

    Examples:
      | the owner                       |
      | the owner is cut from the store |
      | the owner is lost               |
