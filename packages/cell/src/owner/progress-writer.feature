Feature: progress is written only by the current owner, and only onto progress that it knows

  Scenario: a job whose rows were removed isn't started
    Given the progress writer of a cell's owner
    When it writes the progress of a job without rows
    Then the job is dropped and nothing is written

  Scenario: the writer continues from its own write whose answer was lost
    Given the progress writer of a cell's owner
    When the answer to a write of a job's progress is lost and the job goes on
    Then the newest progress is in the store

  Scenario: progress from another writer ends the term
    Given the progress writer of a cell's owner
    When another writer has written a job's progress
    Then the term ends and the other writer's progress stays
