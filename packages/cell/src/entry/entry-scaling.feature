Feature: the cost of an entry doesn't grow with the number of entries, nor with jobs that other entries are asked about

  Scenario: jobs that an entry isn't asked about cost it no store calls
    Given a cell of 4 entries and 2 workers
    When 5 jobs are submitted at the owner and complete
    Then no other entry has called the store about a job

  Scenario: an entry is linked to the owner and to two others
    Given a cell of 9 entries and 1 workers
    Then each entry keeps links to the owner and to 2 others soon after

  Scenario: the link to a stopped entry is replaced
    Given a cell of 6 entries and 1 workers
    When an entry that doesn't own the cell is stopped
    Then each remaining entry keeps links to the owner and to 2 others soon after

  Scenario: only a few entries watch for the loss of the owner
    Given a cell of 9 entries and 1 workers
    Then no more than 3 entries read the owner's row more than twice a second soon after

  Scenario: the remaining entry with the most CPU cores takes over the cell
    Given a cell of 5 entries, the last two of which have more CPU cores, and 1 worker
    When the owner is lost
    Then one of the last two owns the cell soon after

  Scenario: each entry reports the stored state of a job that another one accepted
    Given a cell of 3 entries and 1 workers
    When a job is submitted at the owner and completes
    Then every entry reports that it is completed

  Scenario: a state that was read before is reported while the store is unavailable
    Given a cell of 3 entries and 1 workers
    When a long job is submitted and has started
    And every entry has reported its state, and the store becomes unavailable
    Then every entry reports that it is running

  Scenario: each entry reports the owner's count of waiting jobs
    Given a cell of 3 entries and 0 workers
    When 4 jobs are submitted at the owner
    Then every entry reports that 4 jobs wait

  Scenario: without an owner the waiting jobs are counted from the store's rows
    Given a cell of 3 entries and 0 workers
    When 4 jobs are submitted at the owner
    And the owner is lost
    Then every remaining entry reports at once that 4 jobs wait

  Scenario: an owner that is lost soon after the start is replaced at once
    Given a cell of 2 entries and 1 workers
    When the owner is lost
    Then the other entry owns the cell within 1.3 s

  Scenario: of entries that start together the one with the most CPU cores owns the cell
    Given a cell that starts with 4 entries, the last of which has more CPU cores
    Then the last of them owns the cell
