Feature: progress is written under the owner's row, and only onto what the owner knows

  Scenario: a job whose rows were removed isn't begun
    Given a writer of a cell's owner
    When it writes the progress of a job without rows
    Then the job is given up and nothing is written

  Scenario: an own write whose answer was lost is gone on from
    Given a writer of a cell's owner
    When the answer to a job's progress is lost and the job goes on
    Then the newest progress is in the store

  Scenario: progress of a stranger ends the term
    Given a writer of a cell's owner
    When a job's progress was written by somebody else
    Then the term is over and the stranger's progress stands
