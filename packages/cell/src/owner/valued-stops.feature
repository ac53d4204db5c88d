Feature: stops for capacity are weighed by value

  Scenario Outline: gangs of whole workers against small tasks of all ages
    Given 4 workers, each full of 8 small tasks that have run for <age> s of 8 s
    And an urgent gang of 2 tasks that need a whole worker each, of 3 s
    When a pass is planned
    Then <stopped> runs are stopped

    # Guards against stopping what ends within the time of a stop, and against a gang that waits for whole workers in vain.
    Examples:
      | age | stopped |
      | 1   | 16      |
      | 4   | 16      |
      | 7.9 | 0       |

  Scenario: the runs that have just started are stopped first
    Given 4 workers, each full of 8 small tasks that have run for 5 s of 8 s
    And the small tasks of worker 3 have run for 0.2 s
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    When a pass is planned
    # Guards against choosing victims by the order of workers instead of by their cost.
    Then only runs on worker 3 are stopped

  Scenario: a checkpointing run is stopped rather than one that would lose its work
    Given 2 workers, each full of 8 small tasks that have run for 5 s of 8 s
    And the small tasks of worker 2 save checkpoints
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    When a pass is planned
    # Guards against throwing work away where stopping loses none.
    Then only runs on worker 2 are stopped

  Scenario: many small victims are declined where they are worth more than the gang
    Given 7 workers, each full of 8 small tasks that have run for 6 s of 8 s, each two a job of their own
    And an urgent gang of 6 tasks that need a whole worker each, of 3 s
    When a pass is planned
    # Guards against 52 stops for one job.
    Then 0 runs are stopped
    And the stop is declined

  Scenario: a member of a gang costs its whole gang
    Given 1 worker, each full of 8 small tasks that have run for 2 s of 8 s
    And a worker with one member of a running gang of 4 members that have run for 2 s of 8 s
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    When a pass is planned
    # Guards against counting only the member in the way: the stop ends the others too.
    Then only runs on worker 1 are stopped

  Scenario Outline: a gang that has failed <failures> times by its own fault takes no room from others
    Given 2 workers, each full of 8 small tasks that have run for 1 s of 8 s
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    And the gang has failed <failures> times
    When a pass is planned
    # Guards against stopping others again for each try of a gang that can't succeed.
    Then <stopped> runs are stopped

    Examples:
      | failures | stopped |
      | 0        | 8       |
      | 1        | 0       |

  Scenario Outline: after two failures a gang waits behind first tries
    Given a free worker and no others
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    And the gang has failed <failures> times
    And a later urgent gang of 1 task that needs a whole worker each, of 4 s
    When a pass is planned
    # Guards against a failing gang that keeps a worker from jobs that can succeed.
    Then the <which> gang starts

    Examples:
      | failures | which  |
      | 1        | first  |
      | 2        | second |

  Scenario: three urgent gangs in succession don't stop the same tasks again
    Given 6 workers, each full of 8 small tasks that have run for 1 s of 8 s
    When 3 urgent gangs for a whole worker each arrive within 1.3 s, and stopped tasks restart on 3 free workers
    # Guards against a task that is stopped for one gang after another and never ends.
    Then no task is stopped twice

  Scenario: capacity that stops free goes to the group that they were made for
    Given 2 workers, each full of 8 small tasks that have run for 1 s of 8 s
    And an urgent gang of 2 tasks that need a whole worker each, of 3 s
    And a pass is planned and its stops on worker 1 have ended
    And a later urgent gang of 1 task that needs a whole worker each, of 0.5 s
    When a pass is planned 200 ms later
    # Guards against a job of higher rank that takes the capacity, so that others are stopped for the first one again.
    Then nothing starts for the second

  Scenario: freed capacity is not held for ever
    Given 2 workers, each full of 8 small tasks that have run for 1 s of 8 s
    And an urgent gang of 2 tasks that need a whole worker each, of 3 s
    And a pass is planned and its stops on worker 1 have ended
    And a later urgent gang of 1 task that needs a whole worker each, of 0.5 s
    When a pass is planned 2600 ms later
    # Guards against capacity that idles for a group that lacks something else.
    Then the second gang starts

  Scenario: a guaranteed job stops whatever it needs, also what was stopped before
    Given 1 worker, each full of 8 small tasks that have run for 6 s of 8 s
    And all of them were stopped just before
    And a guaranteed job that needs a whole worker, accepted 2.5 s ago
    When a pass is planned
    # Guards against a guarantee that is broken because its victims are spared.
    Then 8 runs are stopped

  Scenario: an urgent group waits for capacity that becomes free in time
    Given 1 worker, each full of 8 small tasks that have run for 7.4 s of 8 s
    And an urgent gang of 1 task that needs a whole worker each, of 3 s
    When a pass is planned
    # Guards against throwing work away for a group that would be in time anyway.
    Then 0 runs are stopped

  Scenario: a declined stop is counted each time and logged once per second
    Given 7 workers, each full of 8 small tasks that have run for 6 s of 8 s, each two a job of their own
    And an urgent gang of 6 tasks that need a whole worker each, of 3 s
    When a pass is planned
    And a pass is planned 200 ms later
    # Guards against a log line for each pass while a group waits.
    Then 2 declined stops are counted and 1 is logged
