Feature: rows that another writer has left among those of the cell

  # The address of a row with the id of another entry replaced that entry's own.
  Scenario Outline: an entry finds its neighbours although one row of the entries is invalid
    Given a cell of 4 entries and 1 workers
    And another writer has left a row among those of the entries that <is how>
    When an entry joins the cell
    Then each entry keeps links to the owner and to 2 others soon after

    Examples:
      | is how                      |
      | is very deeply nested       |
      | has a number too large      |
      | has a port out of range     |
      | has the id of another entry |

  # The guard read the row no more, and never found the next owner.
  Scenario Outline: a guard finds the owner after a row of the owner that is invalid
    Given a guard that has read a row of the owner that <is how>
    When an entry takes the cell
    Then the guard finds that entry

    Examples:
      | is how                  |
      | is very deeply nested   |
      | has a number too large  |
      | has a port out of range |
