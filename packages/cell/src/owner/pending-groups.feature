Feature: which groups of a job are pending, and which racks they wait for

  Scenario: a gang that is slow on two racks waits for one while the service is busy
    Given a gang expected to take 5 s that has waited 3 s for its rack
    Then it waits for one rack while the service is busy
    And it accepts any racks while most of the service is idle
    And it accepts any racks if it is guaranteed

  Scenario: a gang waits for its rack no longer than the other racks would cost
    Given a gang expected to take 5 s that has waited 11 s for its rack
    Then it accepts any racks while the service is busy

  Scenario Outline: tasks that ran when their runner crashed wait in a group of their own
    Given a <step> of 4 tasks, the second of which ran when its runner crashed
    Then the groups suspected of crashing their runner are <suspects>, and the others <others>

    Examples:
      | step                         | suspects   | others  |
      | step                         | 1          | 0, 2, 3 |
      | gang                         | 0, 1, 2, 3 | none    |
      | step with 1 task to a worker | 0, 1, 2, 3 | none    |

  Scenario: a completed task doesn't make others wait
    Given a step of 4 tasks, the second of which ran when its runner crashed and is done
    Then the groups suspected of crashing their runner are none, and the others 0, 2, 3

  Scenario: nothing waits for an evacuated rack
    Given a task that prefers the rack of its data and has just become ready
    Then it waits for that rack while rack r2 is evacuated
    And it doesn't wait for that rack while rack r1 is evacuated
