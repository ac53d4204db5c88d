Feature: a guard asks the store who owns the cell only when the owner itself doesn't tell

  Scenario: while the owner answers, a guard leaves the store alone
    Given a cell of 2 entries and 3 workers
    Then no guard calls the store more than twice in the next 4 s

  Scenario: a guard leaves an owner that is cut from the store soon after another took the cell
    Given a cell of 2 entries and 3 workers
    When the owner is cut from the store
    Then the other entry owns the cell soon after
    And a job handed in there begins within 1.2 s

  Scenario: a guard with nothing new makes a contact a second
    Given a cell of 2 entries and 3 workers
    Then the owner gets 9 to 15 contacts in the next 4 s
