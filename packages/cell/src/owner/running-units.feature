Feature: which runs may be preempted

  Scenario Outline: long-running tasks are preempted only as far as their step allows
    Given a step of 4 long-running tasks, of which <mayMiss> may be missing and <missing> are
    Then <preemptible> of its tasks may be preempted

    Examples:
      | mayMiss | missing | preemptible |
      | 2       | 0       | 2           |
      | 2       | 1       | 1           |
      | 2       | 2       | 0           |
      | 1       | 0       | 1           |
      | 1       | 3       | 0           |

  Scenario: long-running tasks without such a limit may all be preempted
    Given a step of 4 long-running tasks, of which 0 may be missing and 0 are
    Then 4 of its tasks may be preempted

  Scenario: a checkpointing run loses little, however old its last checkpoint is
    Given a run of 4 accelerators that saves checkpoints and has run for 20 s
    Then stopping it loses 0.6 accelerator-seconds

  Scenario: a run without checkpoints loses all its work
    Given a run of 4 accelerators that saves no checkpoints and has run for 20 s
    Then stopping it loses 80 accelerator-seconds
