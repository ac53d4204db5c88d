Feature: why groups wait, in the log

  Scenario: a gang that finds no room is told of, with how the workers stand in the books
    Given a cell of 2 entries and 3 workers
    When a job that takes 13 s on all of a worker is handed in
    And a gang that needs all 3 workers is handed in
    Then within 12 s the owner logs that the gang waits, with 3 usable workers and 16 of 24 accelerators free
