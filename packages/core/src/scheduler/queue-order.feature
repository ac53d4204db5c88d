Feature: queue order

  Scenario: every waiting job comes once, in order, for any adds and removals
    Then queue order agrees with a full sort for any adds and removals

  Scenario: urgent jobs go by least slack, before waiting ones
    Given a queue order
    When these jobs wait: "w/index/0, a/match/50, b/proof/10, a/match/40"
    Then queue order is "a/match/40, a/match/50, b/proof/10, w/index/0"

  Scenario: a burst of urgent jobs stands back behind an account within its part
    Given a queue order
    When account "a" uses 3 times its part and submits 100 urgent jobs first
    And account "b" submits one urgent job
    Then queue order starts with the job of "b"

  Scenario: a waiting job is not starved by urgent ones
    Given a queue order
    When a waiting job has waited 5 hours and 50 urgent jobs come
    Then queue order starts with the job of "w"

  Scenario: an evicted job returns to its place
    Given a queue order
    When these jobs wait: "a/match/40, a/match/50, a/match/60"
    And the job "a/match/50" is taken out and queued again
    Then queue order is "a/match/40, a/match/50, a/match/60"

  Scenario: a wave of 20000 cancellations is cheap
    Given a queue order
    When 20000 jobs wait and all but 3 are cancelled at once
    Then queue order has 3 jobs left within 500 ms
