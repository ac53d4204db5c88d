Feature: a bundle is in force everywhere and never reverts

  Scenario: two operators race, and answers of the table are lost
    Given a deployment of 2 entries and 2 runners
    When versions are watched
    And proposal "north" is signed
    And proposal "southern" is signed
    And ganbold rolls "north" out while lakshmi rolls "southern" out
    Then one of "north" and "southern" is in force, the other told by whom and what to do
    And version 2 is in force in every process
    When proposal "third" is signed
    And the table loses 40 answers and 0 writes
    And lakshmi rolls "third" out until it is told how it ended
    Then rolling "third" out exits 0
    And version 3 is in force in every process
    When the table comes-back
    And proposal "fourth" is signed
    And the table loses 20 answers and 20 writes
    And ganbold rolls "fourth" out until it is told how it ended
    Then rolling "fourth" out exits 0
    And version 4 is in force in every process
    And no version has fallen

  Scenario: replayed and downgraded bundles are refused, also over restarts
    Given a deployment of 2 entries and 2 runners
    When versions are watched
    And proposal "second" is signed
    And ganbold rolls "second" out
    And proposal "third" is signed
    And lakshmi rolls "third" out
    Then version 3 is in force in every process
    When ganbold rolls "second" out
    Then rolling "second" out exits 4
    When "second" is tampered with to follow version 3
    And ganbold rolls "second" out
    Then rolling "second" out exits 1
    When a peer with the link key offers every entry a tampered version 99
    And entry-2 is killed
    And guard-runner-1-1 is killed
    And entry-2 comes up again
    And guard-runner-1-1 comes up again
    Then version 3 is in force in every process
    When entry-1 is killed
    And guard-runner-1-2 is killed
    And guard-runner-1-2 comes up again
    And entry-1 comes up again
    Then version 3 is in force in every process
    And no version has fallen
