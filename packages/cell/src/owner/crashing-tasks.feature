Feature: tasks that crash their runners

  Callers saw jobs that were shown as running for good, and runs of others were lost again and again. A task crashed each runner
  that started it, 10 ms after the start. The owner gave the run up once the runner was back as another life, and handed the task
  to the next worker at once: 33 times within two minutes, over a change of owner and a loss of power. The cause: only ends that
  a runner lists as failed counted against a task; an end with the runner's life counted for nothing, so nothing bounded the
  starts. The evidence: each of these runs ended as lost with the job still open, the next one was assigned within 20 ms, in each
  owner's term alike, and each runner was gone 10 ms after it had said yes to the start.

  After three crashes a task may be started twice more, and no third time.

  Scenario Outline: a task under which three runners crashed is started no third time
    Given a cell of 2 entries and 3 workers
    When <a job> is handed in
    And after its second start <something> happens
    Then it is given up
    And none of its tasks was started more than 5 times

    Examples:
      | a job                                                | something             |
      | a job whose runs all crash their runners             | nothing               |
      | a job whose runs all crash their runners             | the loss of the owner |
      | a gang of 3 tasks, one of which crashes its runners, | nothing               |

  Scenario: a task whose runner crashes once under it is tried again
    Given a cell of 2 entries and 3 workers
    When a job whose first run crashes its runner is handed in
    Then it completes
    And its task ran twice

  Scenario: jobs beside it are not given up
    Given a cell of 2 entries and 1 worker
    When 3 jobs that take 2 s are handed in
    And a job whose runs all crash their runners is handed in
    Then the last of them is given up
    And the others complete

  Scenario: a worker isn't put out of use for what a crash did
    Given a cell of 2 entries and 3 workers
    When 3 jobs that take 2 s are handed in
    And a runner with work crashes and is away for 2.6 s
    Then each of them completes
    And no worker was closed

  Scenario: crashes that no guard could tell of are reckoned with
    Given a cell of 2 entries and 3 workers
    And a guard is started anew whenever the runner beside it crashes
    When a job whose runs all crash their runners is handed in
    Then it is given up
    And none of its tasks was started more than 5 times
