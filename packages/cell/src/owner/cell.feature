Feature: a cell serves jobs, whatever fails

  Background:
    Given a cell of 2 entries and 3 workers

  Scenario: steps run in their order
    When a job of two steps, the second after the first, is handed in
    Then it completes
    And its second step began after all of the first had ended

  Scenario: a gang runs as a whole
    When a gang of 4 tasks is handed in
    Then it completes
    And its 4 tasks ran once each, under the same run number

  Scenario: a task that fails is tried again
    When a job whose first run fails is handed in
    Then it completes
    And its task ran twice

  Scenario: a job fails after its last attempt
    When a job whose runs all fail is handed in
    Then it fails
    And its task ran twice

  Scenario: a cancelled job stops and starts nothing more
    When a job that takes long is handed in and has begun
    And it is cancelled
    Then nothing of it runs soon after
    And it is shown as cancelled

  Scenario: the same submission at two entries is one job
    When the same job is handed in at both entries at once
    Then it completes
    And its task ran once

  Scenario: a submission whose answer is lost is one job
    Given the store does what an entry writes and doesn't answer
    When a job is handed in at that entry, and again at the other
    Then it completes
    And its task ran once

  Scenario: an owner that is lost between the write and the order
    Given the owner stops the moment a run is written down
    When a job is handed in at the other entry
    Then it completes
    And its task ran once

  Scenario: tasks outlive their owner
    When a job that takes 3 s is handed in and has begun
    And the owner is lost
    Then it completes
    And its task ran once

  Scenario: an owner that is cut from the store is replaced, and no task runs twice at a time
    When a job that takes 3 s is handed in and has begun
    And the owner is cut from the store
    Then the other entry owns the cell soon after
    And it completes
    And its task ran once

  Scenario: an owner of whose writes every second answer is lost stays the owner
    Given every second answer to a write of the owner is lost for 4 s
    Then the same entry owns the cell in the same term

  Scenario: tasks outlive an outage of the store
    When a job that takes 3 s is handed in and has begun
    And the store is silent for everybody for 2.5 s
    Then it completes
    And its task ran once

  Scenario: a runner that is replaced loses its tasks, and they start elsewhere or there anew
    When a job that takes 1 s is handed in and has begun
    And the runner that runs it crashes and comes back
    Then it completes
    And its task ran twice

  Scenario: a task on a worker that is out of reach starts elsewhere only after its lease
    When a job that takes 3 s is handed in and has begun
    And the worker that runs it is out of reach
    Then it completes
    And its second run began later than the lease of the first

  Scenario: a start that comes late doesn't run beside its successor
    Given the first worker carries starts out 2.5 s later and doesn't answer
    When a job that takes 1 s is handed in
    Then it completes
    And no two runs of its task were at work at a time

  Scenario: a checkpoint is continued from
    When a job with checkpoints that takes 2 s is handed in and has worked for 1 s
    And the runner that runs it crashes and comes back
    Then it completes
    And its second run continued from a checkpoint

  Scenario: a run that its draining runner won't see the end of starts elsewhere at once
    When a job that is said to take 6 s is handed in and has begun
    And the runner that runs it says that it leaves in 1800 ms
    Then its second run has begun within 1 s

  Scenario: a run that ends before its draining runner does goes on
    When a job that takes 1 s is handed in and has begun
    And the runner that runs it says that it leaves in 3000 ms
    Then it completes
    And its task ran once

  Scenario: the owner hears of a job and of its cancellation although its feed stands still
    Given an owner whose feed stands still
    When a job that takes long is handed in and has begun
    And it is cancelled
    Then nothing of it runs soon after

  Scenario: a job that ended before the new owner's feed tells of it doesn't start again
    Given an entry whose feed stands still
    When a job that takes 3 s is handed in at the owner and has begun
    And the owner is lost
    Then its progress says that it is completed
    When the feed of that entry goes on
    Then its task ran once
    And its progress says that it is completed

  Scenario: progress that isn't the owner's own is read anew before anything follows from it
    When a job that takes 2 s is handed in and has begun
    And its progress is put down as failed behind the owner's back
    Then its task ran once
    And its progress says that it is failed

  Scenario: a key that was taken away is not accepted by an entry that hasn't heard of it
    Given an entry whose reads of the configuration stand still
    When the operator takes the key away
    Then a job with that key is refused there as not authenticated

  Scenario: an entry that is cut from the store has another one serve its callers
    Given an entry that has been cut from the store for 2 s
    When a job is handed in at that entry
    Then it completes
    And its task ran once

  Scenario: a state that another entry told is noted where it was asked for
    Given an entry that has been cut from the store for 2 s
    When a job is handed in at that entry
    Then its state is told there, and noted as a call that was answered

  Scenario: a row of an entry that can't be read leaves the others known
    Given a row of an entry that can't be read
    When an entry joins and is cut from the store 3 s later
    Then a job handed in there is accepted

  Scenario: a submission that another entry took, and whose answer is lost, isn't said to be refused
    Given an entry that has been cut from the store for 2 s
    And the answers of entries that calls are passed on to are lost
    When a job is handed in at that entry, and its outcome is "unknown"
    Then it completes
    And its task ran once

  Scenario: without the store a submission is refused at once
    Given entries that have all been cut from the store for 2 s
    Then a job handed in there is refused as not accepted within 100 ms

  Scenario: jobs that ended long ago are removed
    Given a cell that keeps ended jobs for 1 s
    When a job that takes 1 s is handed in
    Then it completes
    And no row of it is left soon after

  Scenario: a queue that needs advice refuses at once where no advisor is known
    Given a queue that needs advice where no advisor is known
    Then a job handed in is refused as not accepted

  Scenario: checkpoints outlast the power of all machines
    When a job with checkpoints that takes 4 s is handed in and has worked for 2 s
    And all entries are lost and the runner that runs it comes back as another
    Then it completes
    And its second run continued from a checkpoint

  Scenario: a store that drops its history
    When the store drops its history again and again while jobs are handed in
    Then all of them complete

  # The run was ordered before the runner was known to be gone. Its guard then tried to bar it there for good, and told of it as in
  # progress meanwhile, so that the lease never counted as lapsed: the task didn't run again while other workers were idle.
  Scenario: a task that is ordered on a runner that has just gone for good runs elsewhere
    Given a cell of 2 entries and 2 workers
    When a runner goes for good, and a job with a task for each worker is handed in at once
    Then it completes
