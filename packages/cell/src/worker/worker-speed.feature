Feature: learning the speeds of workers

  Background:
    Given 30 workers, of which each third takes 1.3 times as long, and 3% of the tasks take seven times as long

  Scenario: a fleet's slower third is known
    When tasks run for 90 s
    Then the median speed of the slower third is from 0.68 to 0.86
    And the median speed of the others is from 0.92 to 1.08
    And at least 85 in 100 workers are on the right side of 0.88
    And all speeds are at least 0.6

  Scenario: a worker that is slow for seconds is known while it is, and forgiven afterwards
    When tasks run for 60 s
    And worker 2 takes 6 times as long for 5 s
    Then worker 2 counts as slow
    When tasks run for 40 s
    Then all speeds are at least 0.6

  Scenario: a task that is long by itself doesn't make its worker slow
    Otherwise one such task would keep urgent work off a good worker.
    When tasks run for 60 s
    And a task of worker 2 takes 7 times as long
    Then all speeds are at least 0.6

  # Each contact counted the last known progress once more, so that tasks of which nothing was known seemed to stand still.
  Scenario: a worker whose guard has restarted and not found the runner yet isn't taken for slow
    When tasks run for 60 s
    And the guard of worker 2 reports no runner for 4 s
    Then all speeds are at least 0.6

  Scenario: two long tasks on a worker that nothing is known of don't make it slow
    When two tasks on a new worker take 7 times as long
    Then its speed is 1

  Scenario: what a slow worker's tasks took doesn't teach the queue that its tasks are long
    When tasks run for 90 s
    Then a task is expected to take what it takes on a fast worker, with an error of at most 15 in 100

  Scenario: a new incarnation of a runner starts anew
    When tasks run for 60 s
    And worker 2 takes 6 times as long for 5 s
    And the runner of worker 2 restarts
    Then its speed is 1

  Scenario: a new owner has the speeds after the first contacts
    When tasks run for 60 s
    And worker 2 takes 6 times as long for 5 s
    And the owner is replaced after 2 s
    Then worker 2 counts as slow

  Scenario: a new owner discards the speed of a runner that has been replaced
    When tasks run for 60 s
    And worker 2 takes 6 times as long for 5 s
    And the owner and the runner of worker 2 are replaced
    Then its speed is 1

  Scenario: the predecessor's observations fade with time
    When tasks run for 60 s
    And worker 2 takes 6 times as long for 5 s
    And the owner is replaced after 90 s
    Then its speed is 1

  Scenario: a guard of an earlier version gets no field that it doesn't know
    Its schema is strict: it would refuse the owner's orders.
    When tasks run for 60 s
    Then a guard that holds speeds gets them
    And a guard without a status gets none

  Scenario: a gang on several workers says nothing about any one of them
    When gangs on workers 1 to 4 run for 60 s, and worker 2 takes 6 times as long
    Then all workers have the speed 1

  Scenario: with the part off all speeds stay 1
    Given the speeds of workers aren't learned
    When tasks run for 60 s
    Then all workers have the speed 1

  Scenario: a runner that restarts twice within 10 s is known for as long
    When tasks run for 5 s
    And the runner of worker 2 restarts
    Then it doesn't count as restarting
    When tasks run for 5 s
    And the runner of worker 2 restarts
    Then it counts as restarting
    When tasks run for 11 s
    Then it doesn't count as restarting
