Feature: configuration bundle

  Scenario: a delta leads from any bundle to any other
    Then bundle deltas applied to their start give their end, whatever the bundles

  Scenario: the digest doesn't depend on order
    Then bundle digests stay when lists are reversed, whatever the bundle

  Scenario: a keeper never goes back
    Then bundle keepers offered any heads in any order never go back

  Scenario: a keeper answers any version with a delta that leads to its own
    Then bundle keepers answer any earlier version with a delta that leads on

  Scenario Outline: a head without two operators' signatures is refused
    Given a bundle keeper at version 1
    When bundle version 2 is offered signed by "<signers>"
    Then the bundle offer is "<result>"

    Examples:
      | signers            | result      |
      | bat, anu           | taken       |
      | bat                | not-allowed |
      | bat, bat           | not-allowed |
      | bat, stranger      | not-allowed |
      | bat, anu, stranger | taken       |

  Scenario Outline: a head that was tampered with or replayed is refused
    Given a bundle keeper at version 3
    When a bundle head is offered with <tampering>
    Then the bundle offer is "<result>"
    And the bundle version in force is 3

    Examples:
      | tampering                         | result      |
      | a raised version                  | not-allowed |
      | another note                      | not-allowed |
      | another body                      | bad-input   |
      | an old version                    | stale       |
      | the same version                  | already     |
      | the same version and another body | conflict    |
      | a delta from another version      | conflict    |

  Scenario: one key under two names counts once
    Given a bundle keeper whose settings list one key under two names
    When bundle version 1 is offered signed by both names
    Then the bundle offer is "not-allowed"

  Scenario: a change among 390 accounts travels in little
    Given a bundle of 390 accounts in force
    When the bundle changes one account
    Then the bundle delta is under 2000 bytes

  Scenario: a new version reaches processes two links away
    Given bundle processes a, b and c linked in a row
    When bundle process a takes version 1
    Then bundle process c has version 1

  Scenario: versions spread whatever is lost, late, repeated or forged, and never go back
    Then bundle processes on any network converge on the newest version once it is quiet

  Scenario: a daemon that starts fetches once from one of its peers
    Given bundle processes a, b and c linked in a row
    When bundle process a takes version 1
    And bundle process d starts with links to all
    Then bundle process d has version 1 after one fetch with a body

  Scenario: a change is pushed whole to a peer whose version is known
    Given bundle processes a, b and c linked in a row
    And all three bundle processes have version 1 and know it of each other
    When bundle process a takes version 2 without a fetch by anyone
    Then bundle process c has version 2

  Scenario: a pushed change that doesn't fit is fetched
    Given bundle processes a, b and c linked in a row
    And all three bundle processes have version 1 and know it of each other
    When bundle process a is pushed a change from version 1 to 3 while it has version 2
    Then bundle process a has version 3 after a fetch

  Scenario: a pushed change that nobody signed is refused
    Given bundle processes a, b and c linked in a row
    And all three bundle processes have version 1 and know it of each other
    When bundle process a is pushed a change to version 2 that one operator signed
    Then bundle process a still has version 1 and counts a refusal

  Scenario: a peer with a bundle that is refused isn't asked at every heartbeat
    Given a bundle process whose peer tells a version with a forged body
    When the peer's bundle version rides on 5 heartbeats
    Then the forged bundle was fetched once

  Scenario Outline: a bundle whose parts disagree is refused
    When the bundle is checked with <fault>
    Then the bundle finding is at "<path>"

    Examples:
      | fault                                 | path                         |
      | two accounts of one name              | accounts[1].name             |
      | one token in two accounts             | accounts[1].tokens[0].sha256 |
      | an urgent kind without a contract     | kinds[0].contract            |
      | a request that can be checkpointed    | kinds[0].checkpointable      |
      | a checkpointable job that runs once   | kinds[0].checkpointable      |
      | a guarantee of an account not there   | guarantees[0].account        |
      | guarantees too large with a loss      | guarantees                   |
      | guarantees too large for what's left  | guarantees                   |

  Scenario: a guard follows whether its upstream is drained
    Given a bundle keeper at version 1
    When a guard of "w1" follows bundles that drain "w1", then "w2", then "w1"
    Then the guard was told "true, false, true"

  Scenario: a guard whose upstream announces itself late is told then
    Given a bundle keeper at version 1
    When a guard learns that it guards "w1" after a bundle that drains "w1"
    Then the guard was told "true"
