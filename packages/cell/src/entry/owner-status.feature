Feature: whom the owner names as its successors

  Scenario: the strongest entries, and no guard
    Given an owner linked to entries of 0.3, 1.3 and 0.6 cores and 160 guards
    Then its successors are the entries of 1.3, 0.6 and 0.3 cores

  Scenario: the list is made once a heartbeat, however many links ask for it
    Given an owner linked to entries of 0.3, 1.3 and 0.6 cores and 160 guards
    When 194 links ask for its successors within a heartbeat, three heartbeats long
    Then its links were looked over 3 times
