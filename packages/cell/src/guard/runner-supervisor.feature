@runner-supervisor
Feature: what a guard that has just started reports of a runner that it loses

  # The guard had passed no lease on, so that none could lapse: the runs of a runner that was lost right after its guard had started
  # were reported as running for good.
  Scenario: the runs of a runner that was lost before the owner granted a lease lapse
    Given a guard that has just started beside a runner with a run, and leases of at most 4000 ms
    When the runner is lost
    Then 5000 ms after the start no lease is left

  # The guard counted only its own, shorter lease: the run would have been started elsewhere while it could still be at work.
  Scenario: a longer lease that the guard before it passed on doesn't lapse early
    Given a guard that has just started beside a runner with a run, and leases of at most 4000 ms
    When the owner grants a lease of 500 ms
    And the runner is lost
    Then 3000 ms after the start a lease may be left
    And 5000 ms after the start no lease is left

  # Without this report, the owner would let the worker's lease end and start the task elsewhere while the start may still be carried out.
  Scenario: a start that may reach a new incarnation is reported before that one has listed its runs
    Given a guard that has just started beside a runner with a run, and leases of at most 4000 ms
    When the owner orders a start that the runner doesn't answer
    And the runner restarts under its id and is lost before it has listed its runs
    Then the guard reports no runner, but the start as in progress

  # The check of a foreign heartbeat stayed in progress for good, or for its time-out, and the heartbeats of the guard's own runner were
  # dropped meanwhile: the guard used no runner until it was restarted.
  Scenario Outline: a foreign heartbeat doesn't keep a guard from using its own runner
    Given a guard that has received a foreign heartbeat whose sender <is what>
    When its own runner sends a heartbeat
    Then the guard reports its own runner at once

    Examples:
      | is what           |
      | can't be called   |
      | gives no answer   |

  # While the guard knew the runner before, the same fault kept it from using the next one.
  Scenario: a foreign heartbeat doesn't keep a guard from using its restarted runner
    Given a guard that has just started beside a runner with a run, and leases of at most 4000 ms
    When it receives a foreign heartbeat whose sender can't be called
    And its own runner restarts and sends a heartbeat
    Then the guard reports the restarted runner at once
