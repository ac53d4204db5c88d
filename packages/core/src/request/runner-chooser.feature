Feature: runner chooser

  Scenario: bounds and membership hold for any course of events
    Then a runner chooser keeps its bounds for any course of events

  Scenario: when all are full each refused caller gets a time of its own
    Given a runner chooser over 2 runners of 8 slots
    When the runner chooser is asked until it refuses 3 times
    Then those refusals are "overloaded" with growing times to come back

  Scenario: a draining runner gets nothing new
    Given a runner chooser over 2 runners of 8 slots
    When runner "r0" drains
    Then the runner chooser picks "r1" only

  Scenario: a kind that no runner serves is refused with the reason
    Given a runner chooser over 0 runners of 8 slots
    When the runner chooser is asked until it refuses 1 times
    Then that refusal is "no-upstream"

  Scenario: a slow runner gets little before it is ejected
    Given a runner chooser over 4 runners of 8 slots
    When runner "r0" takes 200 ms and the others 40 ms
    Then the runner chooser gives "r0" less than 15 percent of 400 requests

  Scenario: a choice among many runners looks at a few
    Given a runner chooser over 400 runners of 8 slots
    Then the runner chooser asks for the link of at most 12 runners

  Scenario: runners without a link are passed over
    Given a runner chooser over 40 runners of 8 slots
    Then the runner chooser picks "r37" if only that is linked
    And the runner chooser refuses as "no-upstream" if none is linked

  Scenario: a runner on trial gets one idempotent request at a time
    Given a runner chooser over 40 runners of 8 slots
    When runner "r7" was ejected as silent and is on trial
    Then the runner chooser picks "r7" for an idempotent request, and another beside it

  # An ejection outlasted the leaving of all other runners, and callers were refused for seconds beside a free runner.
  Scenario: a runner that is out of choice gets requests once all others have left
    Given a runner chooser over 4 runners of 8 slots
    When runner "r3" was ejected as silent
    And runner "r0" drains
    And runner "r1" drains
    And runner "r2" drains
    Then the runner chooser picks "r3" only
    And the runner chooser has room for requests

  Scenario: a runner that is out of choice gets nothing while another serves, though that is full
    Given a runner chooser over 2 runners of 8 slots
    When runner "r1" was ejected as silent
    Then the runner chooser picks "r0" only
    When the runner chooser is asked until it refuses 1 times
    Then that refusal is "overloaded"
