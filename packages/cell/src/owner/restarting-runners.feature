Feature: runners that restart under the same id

  Callers saw completed tasks start again, and gangs that were never placed again while most workers were idle. A runner had crashed
  and restarted under its id, and numbered its ended runs from 1 again, but the guard and the owner took both incarnations for one. The
  guard went on confirming the highest end of the previous incarnation, so that the runner dropped the first ends of the new one unread.
  The owner ordered such a run again, was told `old`, gave it up, and started the task elsewhere. Where nothing was ordered, as another
  member of the gang had completed the step, the run occupied its capacity for good. With one end confirmed, exactly the first end of
  the next incarnation was missed and the second received; 40 of 60 workers got no more work after a run whose end was missed.

  Scenario: a task that completed there isn't started again
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When a job is submitted and completes
    And the runner restarts
    And 3 jobs are submitted
    Then each of them completes
    And each task was started once

  Scenario: the capacity of a gang whose end only some of its members reported is free again
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they restart
    When a gang of 2 whole-worker tasks is submitted and completes
    And the runners that ran it restart
    And a gang of 3 whole-worker tasks, one of them slower, is submitted and completes
    And a gang of 3 whole-worker tasks is submitted
    Then each of them completes

  Scenario: the ends of a gang's members aren't missed where all runners have restarted
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they restart
    When a gang of 3 whole-worker tasks is submitted and completes
    And each runner restarts
    And a gang of 3 whole-worker tasks is submitted and completes
    And a gang of 3 whole-worker tasks is submitted
    Then each of them completes
    And each task was started once

  Scenario: a run that was there is lost, and its task runs again under a new number
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When 2 jobs that take 2 s are submitted
    And the runner restarts
    Then each of them completes
    And each run was started once

  Scenario Outline: the same while another process is lost too
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they restart
    When 2 jobs that take 2 s are submitted
    And each runner restarts while <something> is lost
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time

    Examples:
      | something |
      | the owner |
      | its guard |

  Scenario: a new incarnation with an earlier start time, from a clock that was set back, is used
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When a job is submitted and completes
    And the runner restarts with a clock that is an hour behind
    And 3 jobs are submitted
    Then each of them completes
    And each task was started once

  Scenario: a new incarnation that drains gets no runs
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they restart
    When the first runner restarts and reports that it is draining
    And 3 jobs are submitted
    Then each of them completes
    And nothing was started on its new incarnation

  Scenario: a runner that deregistered and restarts is used again
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When the runner deregisters and restarts
    And 3 jobs are submitted
    Then each of them completes

  Scenario: a late heartbeat of the previous incarnation changes nothing
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When the runner restarts
    And a late heartbeat of the previous incarnation reports that it is draining
    And 3 jobs are submitted
    Then each of them completes

  Scenario: the loss of a new incarnation is detected, also for tasks that crash their runners
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they restart
    When a job whose runs all crash their runners is submitted
    Then it is given up
    And none of its tasks was started more than 5 times

  Scenario: a start in flight to the previous incarnation reaches the new one
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they restart
    When a job is submitted whose starts are in flight while the runners restart
    Then each of them completes
    And no two runs of a task worked at the same time

  # A repeated start reached the new incarnation, and its run failed there at once. The next poll, still for the previous incarnation,
  # confirmed that end unread: the attempt wasn't counted, and the task was started once more than allowed.
  Scenario: an end on an incarnation that isn't known yet is read before it is confirmed
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they restart
    When a job is submitted and completes
    And a job that always fails is submitted, whose first start reaches a new incarnation before its first heartbeat
    Then it is given up
    And its task was started twice

  Scenario: all machines lose power at once
    Given a cell of 3 entries and 4 workers
    And runners keep their ids when they restart
    When a gang of 3 whole-worker tasks is submitted and completes
    And 6 jobs that take 2 s are submitted
    And all entries and guards are lost, and all runners restart
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time

  Scenario: runners that restart again and again, under gangs and single tasks
    Given a cell of 2 entries and 6 workers
    And runners keep their ids when they restart
    When gangs and single tasks are submitted for 10 s, and every 1.5 s two runners crash and restart
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time
    And no end was skipped

  # A run whose job had ended and that its worker didn't report kept its capacity for good, whatever had made its end go missing.
  Scenario: a run of a completed gang that its worker doesn't report doesn't keep its capacity
    Given a cell of 2 entries and 2 workers
    When a gang of 2 whole-worker tasks, one of them slower, is submitted while a runner forgets its ended runs
    And a gang of 2 whole-worker tasks is submitted
    Then each of them completes
