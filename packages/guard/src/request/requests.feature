Feature: requests through a guard

  Scenario: a request is answered whole
    Given a guard beside a runner with 2 slots
    When an entry sends the guard a request "a"
    Then the answer to "a" is whole and is its own

  Scenario: a repeated request id runs once
    Given a guard beside a runner with 2 slots
    When an entry sends the guard a request "a"
    And an entry sends the guard a request "a"
    Then the runner ran "a" 1 times

  Scenario: a cut answer is never passed on
    Given a guard beside a runner with 2 slots
    And the guarded runner cuts its answers
    When an entry sends the guard a request "a"
    Then request "a" failed as "upstream-failed", ran "unknown"

  Scenario: a silent runner is given up on at the deadline
    Given a guard beside a runner with 2 slots
    And the guarded runner is frozen
    When an entry sends the guard a request "a" with 200 ms left
    Then request "a" failed as "deadline-passed", ran "unknown"

  Scenario: a runner that is gone didn't run it
    Given a guard beside a runner with 2 slots
    And the guarded runner is gone
    When an entry sends the guard a request "a"
    Then request "a" failed as "upstream-failed", ran "not-run"

  Scenario: an id that was asked about never runs
    Given a guard beside a runner with 2 slots
    When an entry asks the guard about "a"
    And an entry sends the guard a request "a"
    Then request "a" failed as "conflict", ran "not-run"
    And the runner ran "a" 0 times

  Scenario: a cancelled request that was queued doesn't run
    Given a guard beside a runner with 1 slots
    And the guarded runner is frozen
    When an entry has requests "a" and "b" in progress
    And an entry cancels "b"
    Then request "b" failed as "cancelled", ran "not-run"

  Scenario: a burst never exceeds the slots or connections
    Given a guard beside a runner with 2 slots
    When an entry sends the guard a burst of 20 requests
    Then the runner was never overrun with 2 slots

  Scenario: a request that was given up keeps its slot while the runner may be busy
    Given a guard beside a runner with 1 slots
    And the guarded runner is slow by 400 ms
    When an entry sends the guard a request "a" with 100 ms left
    And request "a" failed as "deadline-passed", ran "unknown"
    And an entry sends the guard a request "b"
    Then the answer to "b" is whole and is its own
    And the runner was never overrun with 1 slots

  Scenario: an answer lost with its link is learned on the next one
    Given a guard beside a runner with 1 slots
    And the guarded runner is slow by 100 ms
    When an entry has request "a" in progress as the link is cut
    Then the guard tells on the next link that "a" ended
    And the runner ran "a" 1 times

  Scenario: an upstream that stops announcing itself expires
    Given a guard without an upstream
    When a runner announces itself to the guard once
    Then the entry was told that the upstream is "withdrawn"

  Scenario: a draining guard finishes what it has
    Given a guard beside a runner with 1 slots
    When an entry has requests "a" and "b" in progress
    And the guard is drained
    Then the answer to "a" is whole and is its own
    And the answer to "b" is whole and is its own
    And the entry was told that the upstream is "draining"

  Scenario: an upstream announces itself and withdraws
    Given a guard without an upstream
    When a runner announces itself to the guard
    And the runner withdraws from the guard
    Then the entry was told that the upstream is "withdrawn"

  Scenario: a runner that announces more slots gets more requests at once
    Given a guard beside a runner that has announced 1 of its 2 slots
    And the guarded runner announces 2 slots
    And the guarded runner is frozen
    When an entry has requests "a" and "b" in progress
    Then the runner is busy with 2 requests at once

  Scenario: a guard without a runner refuses as not run
    Given a guard without an upstream
    And the guard without an upstream is linked
    When an entry sends the guard a request "a"
    Then request "a" failed as "no-upstream", ran "not-run"
