Feature: tasks under a guard

  Scenario: a task is held at the barrier until its start
    Given a guard beside a worker
    When an owner reserves accelerators "0,1" for "a"
    And the owner hears that "a" is ready
    Then the worker started "a" 0 times

  Scenario: a started task ends and its end is told
    Given a guard beside a worker
    When an owner reserves accelerators "0,1" for "a"
    And the owner hears that "a" is ready
    And the owner starts "a"
    Then the owner hears that "a" ended as "succeeded"
    And the worker started "a" 1 times

  Scenario: taken accelerators are refused
    Given a guard beside a worker
    When an owner reserves accelerators "0,1" for "a"
    Then reserving accelerators "1,2" for "b" is refused as "conflict"

  Scenario: an owner with a lower term is refused
    Given a guard beside a worker
    When the owner has term 2
    And an owner reserves accelerators "0" for "a"
    And the owner has term 1
    Then reserving accelerators "1" for "b" is refused as "stale-term"

  Scenario: a released reservation never started and never starts
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a"
    And the owner hears that "a" is ready
    And the owner stops "a"
    Then the stop of "a" said "never-started"
    And starting "a" answers "ended"
    And reserving accelerators "0" for "a" is refused as "conflict"
    And the worker started "a" 0 times

  Scenario: a running task is checkpointed and stopped
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the owner checkpoints and stops "a"
    Then the stop of "a" said "checkpointed"

  Scenario: a running task's usage is told, and it is throttled
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the owner throttles "a" to 0.5 cores
    Then the owner hears that "a" uses 0.5 cores

  Scenario: an end is told again until it is acknowledged
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a"
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the owner hears that "a" ended as "succeeded"
    And the link to the guard is cut and comes back
    And the owner has term 2
    And the owner asks for the inventory
    Then the owner hears again that "a" ended
    And the owner forgets "a" and finds nothing held

  Scenario: a reservation that isn't started lapses
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a" during 300 ms
    Then the owner hears that "a" ended as "never-started"
    And starting "a" answers "ended"

  Scenario: a guard's successor stops what it finds before it offers the worker
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the guard is replaced
    Then the worker's "a" is "stopped"
    And the owner stops "a"
    And the stop of "a" said "stopped"
    And an owner reserves accelerators "0" for "b"

  Scenario: a guard's successor tells no end before it knows what runs on the worker
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the guard is replaced before the worker has announced itself
    Then starting "a" is refused as "no-upstream", and "unknown" whether it runs
    And stopping "a" is refused as "no-upstream", and "unknown" whether it runs
    When the owner stops "a" again until it is told its end
    Then the worker's "a" is "lapsed"

  # A renewal that waits for the answer to the one before reaches a slow worker after its task's lease has lapsed.
  Scenario: a task outlives its lease on a worker that takes three quarters of the lease to answer
    Given a guard beside a worker
    And the worker carries out each call 375 ms late
    When an owner reserves accelerators "0" for "a", which runs 1500 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    Then the owner hears that "a" ended as "succeeded"

  Scenario: a silent worker's task is over once its lease is
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a", which runs 60000 ms
    And the owner hears that "a" is ready
    And the owner starts "a"
    And the worker freezes
    Then the owner hears that "a" ended as "lease-lapsed"
    And the worker's "a" is "lapsed"

  Scenario: a guard that was paused past its reservation doesn't start the task
    Given a guard beside a worker
    When an owner reserves accelerators "0" for "a" during 300 ms
    And the owner hears that "a" is ready
    And the guard's process is paused for 400 ms as the owner starts "a"
    Then starting "a" answers "ended"
    And the worker started "a" 0 times
