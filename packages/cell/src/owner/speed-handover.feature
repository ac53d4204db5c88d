Feature: a new owner knows the speeds that its predecessor learned

  Scenario: over real links, by the guard's first contact
    Otherwise each change of the owner puts urgent tasks on slow workers for seconds.
    Given a cell of 2 entries and 3 workers that learns their speeds
    When a job is submitted whose tasks take three times as long on the first worker
    Then it completes
    And the owner has logged that the first worker is slow
    When the owner is lost
    Then the next owner logs that the first worker is slow as soon as it hears from it
