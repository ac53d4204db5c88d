Feature: runners that return under their old id

  Callers saw tasks that had ended as done start again, and gangs that were never placed again while most workers were idle. A runner
  had crashed and started again under its id; its ends were numbered from 1 once more. The guard and the owner took both lives for one.
  The guard went on confirming the highest end of the life before, so that the runner forgot the first ends of the new one before
  anybody had read them. The owner ordered such a run again, was told `old`, gave it up, and started the task elsewhere. Where nothing
  was ordered, as a gang's other member had completed the step, the run kept its room in the books for good. The evidence: of a runner
  with one confirmed end exactly the first end of its next life was missed and the second taken up; 40 of 60 workers got nothing more
  after a run of which no end was taken up.

  Scenario: what ended there as done isn't started again
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When a job is handed in and completes
    And the runner returns
    And 3 jobs are handed in
    Then each of them completes
    And each task was started once

  Scenario: the room of a gang whose end was told by some of its members only is free again
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they start again
    When a gang of 2 tasks of whole workers is handed in and completes
    And the runners that it was on return
    And a gang of 3 tasks of whole workers, one of them slower, is handed in and completes
    And a gang of 3 tasks of whole workers is handed in
    Then each of them completes

  Scenario: what a gang's members end as isn't missed where all runners have returned
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they start again
    When a gang of 3 tasks of whole workers is handed in and completes
    And each runner returns
    And a gang of 3 tasks of whole workers is handed in and completes
    And a gang of 3 tasks of whole workers is handed in
    Then each of them completes
    And each task was started once

  Scenario: a run that was there is over, and goes on under a new number
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When 2 jobs that take 2 s are submitted
    And the runner returns
    Then each of them completes
    And each run was started once

  Scenario Outline: the same while others are lost too
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they start again
    When 2 jobs that take 2 s are submitted
    And each runner returns while <something> is lost
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time

    Examples:
      | something       |
      | the owner       |
      | the guard of it |

  Scenario: a new life that was born earlier, by a clock that was set back, is used
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When a job is handed in and completes
    And the runner returns with a clock that is an hour behind
    And 3 jobs are handed in
    Then each of them completes
    And each task was started once

  Scenario: a new life that leaves gets nothing
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they start again
    When the first runner returns and says that it leaves
    And 3 jobs are handed in
    Then each of them completes
    And nothing was started on its new life

  Scenario: a runner that left and starts again is used again
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When the runner leaves and returns
    And 3 jobs are handed in
    Then each of them completes

  Scenario: a heartbeat of the life before that comes late changes nothing
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When the runner returns
    And a heartbeat of the life before comes, that says it leaves
    And 3 jobs are handed in
    Then each of them completes

  Scenario: the loss of a new life is noticed, also for tasks that crash their runners
    Given a cell of 2 entries and 3 workers
    And runners keep their ids when they start again
    When a job whose runs all crash their runners is submitted
    Then it is given up
    And none of its tasks was started more than 5 times

  Scenario: a start on its way to the life before reaches the new one
    Given a cell of 2 entries and 2 workers
    And runners keep their ids when they start again
    When a job is handed in whose starts are on their way while the runners return
    Then each of them completes
    And no two runs of a task worked at the same time

  # A start that was repeated reached the new life, its run failed there at once, and the next look, still of the life before, confirmed
  # that end unread: the attempt wasn't counted, and the task was started once more than it may be.
  Scenario: an end on a life that isn't known yet is read before it is confirmed
    Given a cell of 2 entries and 1 worker
    And runners keep their ids when they start again
    When a job is handed in and completes
    And a job that always fails is handed in, whose first start reaches a new life before that is known
    Then it is given up
    And its task was started twice

  Scenario: all machines lose power at once
    Given a cell of 3 entries and 4 workers
    And runners keep their ids when they start again
    When a gang of 3 tasks of whole workers is handed in and completes
    And 6 jobs that take 2 s are submitted
    And all entries and guards are lost, and all runners return
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time

  Scenario: runners that return again and again, under gangs and single tasks
    Given a cell of 2 entries and 6 workers
    And runners keep their ids when they start again
    When gangs and single tasks are handed in for 10 s, and each 1.5 s two runners crash and return
    Then each of them completes
    And each run was started once
    And no two runs of a task worked at the same time
    And no end was skipped

  # The room of a run whose job is over and of which its worker tells nothing was kept for good, whatever had made its end missed.
  Scenario: a run of a gang that is done, of which its worker tells nothing, doesn't keep its room
    Given a cell of 2 entries and 2 workers
    When a gang of 2 tasks of whole workers, one of them slower, is handed in while a runner forgets its ends
    And a gang of 2 tasks of whole workers is handed in
    Then each of them completes
