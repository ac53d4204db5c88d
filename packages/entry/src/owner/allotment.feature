Feature: an account's accelerators over all failure domains

  Scenario: a quota of one job's size lets one job run, wherever it lies
    Given two failure domains with 2 workers each and a quota of 8 accelerators
    When 2 jobs of 1 task of 8 accelerators lie in different failure domains
    Then 1 of them is started, and the other still waits after 300000 ms
    When the started one has succeeded
    Then the other one is started too

  Scenario: two gangs that need the whole quota don't share it by halves
    Given two failure domains with 2 workers each and a quota of 16 accelerators
    When 2 jobs of 2 tasks of 8 accelerators lie in different failure domains
    Then 1 of them is started, and the other still waits after 300000 ms
    When the started one has succeeded
    Then the other one is started too

  Scenario: rows of allotments always sum to the quota
    Given two failure domains with 2 workers each and a quota of 24 accelerators
    When 2 jobs of 1 task of 8 accelerators lie in different failure domains
    Then both of them are started
    And the allotment rows of the account sum to 24

  Scenario: an allotment that is used steadily costs few writes
    Given two failure domains with 2 workers each and a quota of 32 accelerators
    When jobs of 1 task of 1 accelerator come and go in one failure domain for 600000 ms
    Then the allotment rows of the account were written at most 40 times
    And the allotment rows of the account sum to 32

  Scenario: an allotment that its write left unknown is given back all the same
    Given two failure domains with 2 workers each and a quota of 8 accelerators
    And 1 job of 8 accelerators has run to its end
    And the table fails its next calls while the allotment is given back
    When 300000 ms pass for the owner
    Then the spare row of the account has 8

  Scenario: a new owner gives back what nobody needs any more
    Given two failure domains with 2 workers each and a quota of 8 accelerators
    And 1 job of 8 accelerators has run to its end
    When the entry is replaced by another one
    And 300000 ms pass for the owner
    Then the spare row of the account has 8
