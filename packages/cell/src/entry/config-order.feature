Feature: calls that arrive during a configuration change

  Callers of one entry saw a queue that had just been added, and 0.3 s later one that the same change had removed. An entry reads the
  configuration again before it rejects a call for an unknown queue. If that takes half a second, as over a slow link with 1,400 queues,
  the waiting call is answered under the new configuration, and calls that arrive meanwhile under the old one.

  Scenario: a call isn't answered under an older configuration than a call that was sent 0.3 s earlier
    Given a cell of 2 entries and 1 worker
    And an entry whose reads of the configuration are paused
    When the operator replaces the first queue with another one
    And a call for the new queue arrives there, 0.3 s later one for the old queue, and then the reads resume
    Then at most one of the calls is served
