Feature: operators' client

  Scenario: a first bundle, from file to in force
    Given an operators' desk with 1 entry
    When the client runs "bundle check @bundle.jsonc"
    And the client runs "bundle propose @bundle.jsonc --note first"
    And the client runs "bundle sign @bundle.v1.proposal.json"
    And the client runs "bundle sign @bundle.v1.proposal.json --key @anu.key.json"
    And the client runs "bundle rollout @bundle.v1.proposal.json"
    Then the client prints "Version 1 is rolled out"
    And after "bundle status" the client prints "Version 1 is in force in 1 of 1 processes"
    And after "bundle history" the client prints "bat, anu"
    And after "bundle diff @bundle.jsonc" the client prints "No difference."
    And after "status" the client prints "version 1, platformReachable true"
    And after "timeline" the client prints "bundle.rolled-out"

  Scenario: a rollout can be repeated
    Given an operators' desk with version 1 in force
    When the client runs "bundle rollout @bundle.v1.proposal.json"
    Then the client prints "was rolled out before, by bat"

  Scenario: an upstream is drained by two signatures and put back
    Given an operators' desk with version 1 in force
    When the client runs "drain worker-7 --out @drain.json"
    Then the client prints "Two operators sign it"
    When both operators sign "drain.json" and one rolls it out
    Then after "bundle show" the client prints "worker-7"
    And "drain worker-7" exits with 2 and says "is drained already"
    When the client runs "drain worker-7 --off --out @undrain.json"
    Then the client prints "back in service"

  Scenario: of two racing proposals the second to be rolled out is told what to do
    Given an operators' desk with version 1 in force
    When two drains are proposed and signed, and the first is rolled out
    Then "bundle rollout @second.json" exits with 4 and says "bat rolled it out"

  Scenario: while the table is down the client tells when to come back
    Given an operators' desk with version 1 in force
    When the client's table is down
    Then "bundle rollout @bundle.v1.proposal.json" exits with 1 and says "Try again in"
    And after "bundle status" the client prints "Version 1 is in force in 1 of 1 processes"

  Scenario: the next entry is tried when one is down
    Given an operators' desk with 1 entry after 1 dead address
    Then after "bundle status" the client prints "no bundle yet"

  Scenario Outline: what can't be done is refused with an exit code and the remedy
    Given an operators' desk with <entries> entry
    Then "<command>" exits with <code> and says "<words>"

    Examples:
      | entries | command                       | code | words                               |
      | 1       | bundle frob                   | 2    | zincspan --help                     |
      | 1       | status --frob                 | 2    | Unknown option                      |
      | 1       | bundle check                  | 2    | missing required args               |
      | 1       | bundle check @absent.jsonc    | 2    | can't be read                       |
      | 1       | bundle check @wrong.jsonc     | 1    | line 3, accounts[0].share: expected |
      | 1       | bundle sign @tampered.json    | 2    | was changed after it was proposed   |
      | 1       | jobs --state asleep           | 1    | state: expected "queued"            |
      | 1       | timeline --since yesterday    | 2    | Write 90s                           |
      | 1       | jobs --limit 0                | 2    | whole number above 0                |
      | 1       | jobs --state 007              | 1    | state: expected "queued"            |
      | 1       | keys new BAT                  | 2    | is no name                          |
      | 1       | keys new bat --out @bat.key.json | 2 | can't be written                    |
      | 0       | status                        | 3    | No entry answers                    |

  Scenario Outline: wrong client settings are refused with path, expected and remedy
    Given an operators' desk with 1 entry
    When the client's settings are <settings>
    Then "status" exits with 2 and says "<words>"

    Examples:
      | settings                                                                    | words                                    |
      | {"entries":["localhost:1"],"operator":"bat","keyFile":"bat.key.json"}       | entries[0]: expected                     |
      | {"entries":["1.1.1.1:1"],"operator":"bat","keyFile":"bat.key.json","tmo":1} | tmo: expected no field of this name here |
      | {"entries":["1.1.1.1:1"],"operator":"anu","keyFile":"bat.key.json"}         | belongs to "bat"                         |
      | {"entries":["1.1.1.1:1"],"operator":"bat","keyFile":"absent.json"}          | zincspan keys new                        |

  Scenario: a name of digits stays as it was written
    Given an operators' desk with 1 entry
    When the client runs "keys new 007 --out @007"
    And the client runs "timeline --job 007 --limit 5 --json"
    Then the client's call asked for job "007"

  Scenario: a token's entry is the digest of the token
    Given an operators' desk with 1 entry
    When the client runs "token new main --json"
    Then the client's token hashes to its entry

  Scenario: the time line is drawn as a page that loads nothing
    Given an operators' desk with version 1 in force
    When the client runs "timeline --html @timeline.html"
    Then the client's page "timeline.html" has marks and no outside links

  Scenario Outline: the example bundles are sound
    Then the example bundle "<bundle>" fits on 10 workers of <cores> cores and <memory> MB in "<domains>"

    Examples:
      | bundle  | cores | memory | domains                                                         |
      | tuul    | 64    | 262144 | bayangol-hall, sukhbaatar-room, khan-uul-depot, chingeltei-annex |
      | malabar | 32    | 65536  | ernakulam, kakkanad, aluva                                      |
