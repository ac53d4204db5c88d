Feature: fair shares of client accounts

  Loads of ten accounts on ten workers of 8 accelerators, played in virtual time by the owner's passes. Guards against one account's
  burst taking the capacity of the others, and against changes of order where no account is beyond its share.

  Scenario: one account of ten sends half of all jobs
    Given 9 accounts with a job of 4 tasks each every 1.5 s
    And a heavy account that sends as many jobs as all others together
    When the load is played for 30 s
    Then each job of the others starts within a task's duration of when it would beside an idle heavy account
    But without fair shares some start later than that

  Scenario: one account sends ten times as much as each of the others
    Given 9 accounts with a job of 4 tasks each every 1.5 s
    And a heavy account that sends 10 times as many jobs as each of them
    When the load is played for 30 s
    Then each job of the others starts within a task's duration of when it would beside an idle heavy account
    But without fair shares some start later than that

  Scenario: the owner is replaced amid a heavy account's burst
    Given 9 accounts with a job of 4 tasks each every 1.5 s
    And a heavy account that sends 10 times as many jobs as each of them
    When the load is played for 30 s with a takeover after 15 s
    Then each job of the others starts within a task's duration of when it would beside an idle heavy account

  Scenario: ten equal accounts keep their order
    Given 10 accounts with a job of 8 tasks each every 1.5 s
    When the load is played for 30 s
    Then each job starts when it would without fair shares

  Scenario: an account may use all that others leave idle
    Given a heavy account with 40 jobs of 4 tasks at once
    When the load is played for 30 s
    Then 80 accelerators were in use at once

  Scenario: a gang larger than its account's share starts beside a heavy account
    Given a heavy account with a job of 4 tasks every 0.1 s
    And an account whose only job is a gang of 3 whole workers
    When the load is played for 30 s
    Then the gang starts within 3 tasks' durations

  Scenario: an urgent job of a heavy account goes before others' jobs that may wait
    Given a heavy account that uses 8 of 10 workers, the others being in use by another
    When it has an urgent job, and a small account a job that may wait
    Then the urgent job is placed first

  Scenario: of the same priority, a small account's job goes before a heavy account's
    Given a heavy account that uses 8 of 10 workers, the others being in use by another
    When it has a job that may wait, and a small account a less valuable one
    Then the small account's job is placed first
    And the heavy account's job is noted as deferred

  Scenario: where all that waits fits, the order is by value alone
    Given a heavy account that uses 8 of 10 workers, the others being free
    When it has a job that may wait, and a small account a less valuable one
    Then the heavy account's job is placed first

  Scenario: an urgent job takes room from an account above its share first
    Given runs of a heavy account, and a shorter one of a small account
    When a third account needs a worker for an urgent job
    Then a run of the heavy account is stopped

  Scenario: an account above its share stops nothing of one below its own
    Given runs of a heavy account that may not be stopped, and a shorter one of a small account
    When the heavy account needs a worker for an urgent job
    Then no run is stopped

  Scenario: guarantees add to an account's weight
    Given an account that uses 4 of 10 workers and has 40 accelerators guaranteed, and one that waits
    Then its fair share is 0.6
    When the account leaves the configuration
    Then its fair share is 0.5

  Scenario: past use fades by the duration of tasks, and a new owner takes it to be what runs
    Given an account that uses 4 of 10 workers for 60 s with tasks of 10 s
    When it stops using them for 10 s
    Then its share is 0.1
    And to a new owner it is 0
