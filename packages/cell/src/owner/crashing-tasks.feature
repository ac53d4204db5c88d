Feature: tasks that crash their runners

  A task that crashes each runner that starts it, 10 ms after the start, must not be started without bound. Only ends that a
  runner reported as failed counted against a task, not runs that ended with their runner. The owner marked such a run lost once
  the runner was back as a new incarnation, with the job still open, and assigned the task to the next worker within 20 ms: 33
  times within two minutes, over a change of owner and a power failure, in each term alike. Each runner was gone 10 ms after it
  had accepted the start. Callers saw these jobs as running for good, and runs of others were lost again and again.

  After three crashes a task may be started twice more, and no third time.

  Scenario Outline: a task that has crashed three runners is started at most twice more
    Given a cell of 2 entries and 3 workers
    When <a job> is submitted
    And after its second start <something> happens
    Then it is given up
    And none of its tasks was started more than 5 times

    Examples:
      | a job                                                | something             |
      | a job whose runs all crash their runners             | nothing               |
      | a job whose runs all crash their runners             | the loss of the owner |
      | a gang of 3 tasks, one of which crashes its runners, | nothing               |

  Scenario: a task whose runner crashes once is tried again
    Given a cell of 2 entries and 3 workers
    When a job whose first run crashes its runner is submitted
    Then it completes
    And its task ran twice

  Scenario: other jobs on the runner are not given up
    Given a cell of 2 entries and 1 worker
    When 3 jobs that take 2 s are submitted
    And a job whose runs all crash their runners is submitted
    Then the last of them is given up
    And the others complete

  Scenario: a worker isn't quarantined because of a crash
    Given a cell of 2 entries and 3 workers
    When 3 jobs that take 2 s are submitted
    And a busy runner crashes and is gone for 2.6 s
    Then each of them completes
    And no worker was quarantined

  Scenario: crashes that no guard could report are counted
    Given a cell of 2 entries and 3 workers
    And a guard restarts whenever its runner crashes
    When a job whose runs all crash their runners is submitted
    Then it is given up
    And none of its tasks was started more than 5 times
