Feature: attempt of a gang

  Scenario: whole or not at all, whatever happens in whatever order
    Given 20000 random runs of attempts of 1 to 3 members
    Then no member was started before the row was written
    And no member was started after a stop
    And every attempt concluded at most once, when no member could run any more
    And only attempts whose row was written said that it was

  Scenario: success needs every member
    Given an attempt of 2 members that runs
    When its member 0 ends as "succeeded"
    Then the attempt hasn't concluded
    When its member 1 ends as "succeeded"
    Then the attempt concludes as "succeeded"

  Scenario: a silent member stops the others, but concludes nothing by itself
    Given an attempt of 2 members that runs
    When the guard of its member 0 falls out of contact
    Then the attempt stops 2 members and starts 2
    When its member 1 ends as "stopped"
    Then the attempt hasn't concluded
    When its member 0 has surely ended unseen
    Then the attempt concludes as "lost"

  Scenario: a silent member that comes back tells how it ended
    Given an attempt of 1 members that runs
    When the guard of its member 0 falls out of contact
    And its member 0 ends as "succeeded"
    Then the attempt concludes as "succeeded"

  Scenario: an end of which nothing is known says neither that it ran nor that it didn't
    Given an attempt of 1 members that runs
    When its member 0 ends as "lease-lapsed" after 0 ms
    Then the attempt concludes as "lost"
    And the attempt makes the job's outcome "unknown"

  Scenario: a cancellation during the write waits for its result
    Given an attempt of 2 members whose row is being written
    When the attempt is cancelled
    Then the attempt has sent no stop
    When its row turns out to be written
    Then the attempt stops 2 members and starts 0

  Scenario: a job whose guards all bar it and never started it surely didn't run
    Given an attempt of 2 members whose row is being written
    When the attempt is cancelled
    And its row turns out to be written
    And its member 0 is barred and never started
    And its member 1 is barred and never started
    Then the attempt makes the job's outcome "not-run"

  Scenario: a member whose guard was replaced can't tell that it never started
    Given an attempt of 2 members whose row is being written
    When the attempt is cancelled
    And its row turns out to be written
    And its member 0 is barred and never started
    And its member 1 ends as "never-started" after 0 ms
    Then the attempt makes the job's outcome "unknown"

  Scenario: a job that was started before can't be said not to have run
    Given an attempt of 1 members whose row is being written
    When the attempt is cancelled
    And its row turns out to be written
    And its member 0 is barred and never started
    Then the attempt makes the outcome of a job started before "unknown"

  Scenario: a cancellation outranks an eviction
    Given an attempt of 1 members that runs
    When the attempt is evicted with its checkpoint
    And the attempt is cancelled
    And its member 0 ends as "checkpointed"
    Then the attempt concludes as "cancelled"

  Scenario: work that was done before the stop came counts as done
    Given an attempt of 1 members that runs
    When the attempt is evicted with its checkpoint
    And its member 0 ends as "succeeded"
    Then the attempt concludes as "succeeded"

  Scenario: members checkpointed together continue together
    Given an attempt of 2 members that runs
    When the attempt is evicted with its checkpoint
    And its member 0 ends as "checkpointed"
    And its member 1 ends as "checkpointed"
    Then the attempt concludes as "checkpointed"
    And the attempt's checkpoint for member 1 is "point-1"

  Scenario: one member without its checkpoint spoils the gang's
    Given an attempt of 2 members that runs
    When the attempt is evicted with its checkpoint
    And its member 0 ends as "checkpointed"
    And its member 1 ends as "stopped"
    Then the attempt concludes as "stopped"
    And the attempt left no checkpoint
