Feature: the log says why groups wait

  Scenario: a gang that finds no capacity is logged with the state of the workers
    Given a cell of 2 entries and 3 workers
    When a job that takes 13 s and a whole worker is submitted
    And a gang that needs all 3 workers is submitted
    Then within 12 s the owner logs that the gang waits, with 3 usable workers and 16 of 24 accelerators free
