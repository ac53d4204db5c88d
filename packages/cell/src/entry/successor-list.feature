Feature: which entries the owner lists as its successors

  Scenario: the entries with the most CPU cores, and no guard
    Given an owner linked to entries of 0.3, 1.3 and 0.6 cores and 160 guards
    Then its successors are the entries of 1.3, 0.6 and 0.3 cores

  Scenario: the list is computed once per heartbeat, however many links ask for it
    Given an owner linked to entries of 0.3, 1.3 and 0.6 cores and 160 guards
    When 194 links ask for its successors within a heartbeat, three heartbeats long
    Then its links were scanned 3 times
