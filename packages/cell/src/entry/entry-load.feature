Feature: what an entry costs doesn't grow with the number of entries, nor with jobs that others are asked about

  Scenario: jobs that nobody asks an entry about cost it no calls
    Given a cell of 4 entries and 2 workers
    When 5 jobs are handed in at the owner and complete
    Then no other entry has asked the store about a job

  Scenario: an entry is linked to the owner and to two others
    Given a cell of 9 entries and 1 workers
    Then each entry keeps links to the owner and to 2 others soon after

  Scenario: a link to an entry that is gone is replaced
    Given a cell of 6 entries and 1 workers
    When an entry that doesn't own the cell is gone
    Then each entry that is left keeps links to the owner and to 2 others soon after

  Scenario: few entries look out for the loss of the owner
    Given a cell of 9 entries and 1 workers
    Then no more than 3 entries read the owner's row more than twice a second soon after

  Scenario: the strongest entry that is left takes the cell
    Given a cell of 5 entries, the last two of which have more of a processor, and 1 worker
    When the owner is lost
    Then one of the last two owns the cell soon after

  Scenario: a job that another entry took is told of as the store has it
    Given a cell of 3 entries and 1 workers
    When a job is handed in at the owner and completes
    Then every entry says that it is completed

  Scenario: a state that was read before is told while the store is away
    Given a cell of 3 entries and 1 workers
    When a long job is submitted and has started
    And every entry has told of it, and the store is away
    Then every entry says that it is running

  Scenario: an entry counts the jobs that wait as the owner does
    Given a cell of 3 entries and 0 workers
    When 4 jobs are handed in at the owner
    Then every entry says that 4 jobs wait

  Scenario: without an owner the store's rows tell how many jobs wait
    Given a cell of 3 entries and 0 workers
    When 4 jobs are handed in at the owner
    And the owner is lost
    Then every entry that is left says at once that 4 jobs wait

  Scenario: an owner that is lost soon after the start is replaced at once
    Given a cell of 2 entries and 1 workers
    When the owner is lost
    Then the other entry owns the cell within 1.3 s

  Scenario: of entries that start together the strongest owns the cell
    Given a cell that starts with 4 entries, the last of which has more of a processor
    Then the last of them owns the cell
