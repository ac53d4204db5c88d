Feature: task on a stand-in worker

  Background:
    Given a stand-in task of 1000 ms under a lease of 10000 ms, ready after 10 ms

  Scenario: it waits at the barrier until started
    When 500 ms pass for the stand-in task
    Then the stand-in task is "ready"
    When the stand-in task is started
    And 1000 ms pass for the stand-in task
    Then the stand-in task is "succeeded"

  Scenario: it can't be started before it is ready
    When the stand-in task is started
    Then the stand-in task refused to start
    And the stand-in task is "preparing"

  Scenario: a lease that lapsed while everything was paused ends it first
    When 10 ms pass for the stand-in task
    And the stand-in task is started
    And the stand-in task's lease is renewed for 500 ms
    And 60000 ms pass for the stand-in task
    Then the stand-in task is "lapsed"
    And the stand-in task ran for 500 ms

  Scenario: a lapsed task can't be started
    When 10000 ms pass for the stand-in task
    And the stand-in task is started
    Then the stand-in task refused to start
    And the stand-in task is "lapsed"

  Scenario: it goes on from its checkpoint
    Given a stand-in task that goes on from "progress:0.75"
    When 10 ms pass for the stand-in task
    And the stand-in task is started
    And 250 ms pass for the stand-in task
    Then the stand-in task is "succeeded"

  Scenario: throttled to half its cores it takes twice as long
    When 10 ms pass for the stand-in task
    And the stand-in task is started
    And the stand-in task is throttled to 2 cores
    And 1999 ms pass for the stand-in task
    Then the stand-in task is "running"
    When 1 ms pass for the stand-in task
    Then the stand-in task is "succeeded"

  Scenario: throttled to nothing it still loses its lease
    When 10 ms pass for the stand-in task
    And the stand-in task is started
    And the stand-in task is throttled to 0 cores
    And 10000 ms pass for the stand-in task
    Then the stand-in task is "lapsed"

  Scenario: usage is told with a lag
    When 10 ms pass for the stand-in task
    And the stand-in task is started
    And 500 ms pass for the stand-in task
    Then the stand-in task tells progress 0.4
