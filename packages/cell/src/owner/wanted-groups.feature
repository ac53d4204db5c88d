Feature: what waits for room, and for which

  Scenario: a gang that is slow on two racks waits for one while the service is busy
    Given a gang expected to take 5 s that has waited 3 s for its rack
    Then it wants one rack while the service is busy
    And it takes any racks while most of the service is idle
    And it takes any racks as a claim

  Scenario: it doesn't wait longer than the other racks would cost
    Given a gang expected to take 5 s that has waited 11 s for its rack
    Then it takes any racks while the service is busy

  Scenario Outline: the tasks under which a runner crashed wait by themselves
    Given a <step> of 4 tasks, under the second of which a runner crashed
    Then the groups that may crash their runner are <suspects>, and the others <others>

    Examples:
      | step                         | suspects   | others  |
      | step                         | 1          | 0, 2, 3 |
      | gang                         | 0, 1, 2, 3 | none    |
      | step with 1 task to a worker | 0, 1, 2, 3 | none    |

  Scenario: a task that is done makes no others wait
    Given a step of 4 tasks, under the second of which a runner crashed and which is done
    Then the groups that may crash their runner are none, and the others 0, 2, 3

  Scenario: nothing waits for a rack that is evacuated
    Given a task that wants the rack of its data and has just become ready
    Then it waits for that rack while rack r2 is evacuated
    And it doesn't wait for that rack while rack r1 is evacuated
