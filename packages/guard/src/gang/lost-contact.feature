Feature: tasks of a guard that loses contact with its owner

  Scenario: a guard that alone is cut off stops what it started
    Given a guard beside a worker, linked to its owner and to an entry that reaches the owner
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the guard loses its link to the owner
    Then the guard stops "a" by itself
    When the guard is linked to its owner again
    Then the owner hears that "a" ended as "checkpointed"

  Scenario: a guard without any link stops what it started
    Given a guard beside a worker, linked to its owner and to an entry that doesn't reach the owner
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the guard loses all its links
    Then the guard stops "a" by itself
    When the guard is linked to its owner again
    Then the owner hears that "a" ended as "checkpointed"

  Scenario: a guard lets its tasks outlive their owner
    Given a guard beside a worker, linked to its owner and to an entry that doesn't reach the owner
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the guard loses its link to the owner
    And the other entry was asked 5 times after the owner
    Then the worker's "a" is "running"

  Scenario: a guard tells how long its tasks outlast its contact
    Given a guard beside a worker, linked to its owner and to an entry that reaches the owner
    Then a reservation for "a" is answered with 500 ms of silence and an end after 1600 ms
