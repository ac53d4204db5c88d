Feature: a guard reads the cell's owner from the store only when the owner itself doesn't confirm that it is

  Scenario: while the owner answers, a guard rarely calls the store
    Given a cell of 2 entries and 3 workers
    Then no guard calls the store more than twice in the next 4 s

  Scenario: a guard whose owner is cut from the store soon connects to the entry that took the cell over
    Given a cell of 2 entries and 3 workers
    When the owner is cut from the store
    Then the other entry owns the cell soon after
    And a job submitted there starts within 1.2 s

  Scenario: a guard with nothing to report contacts the owner once a second
    Given a cell of 2 entries and 3 workers
    Then the owner gets 9 to 15 contacts in the next 4 s
