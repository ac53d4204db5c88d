Feature: calls that come while the configuration changes

  Callers of one entry saw a queue that had just been added, and 0.3 s later one that the same change had removed. An entry that
  doesn't know a queue reads the configuration again before it says so; where that takes half a second, as over a thin link with 1,400
  queues, the call that waits is answered by the new configuration, and calls that come meanwhile by the old one.

  Scenario: a call isn't answered by an older configuration than one that was sent 0.3 s before
    Given a cell of 2 entries and 1 worker
    And an entry whose reads of the configuration wait
    When the operator puts another queue in place of the first
    And a call for the new queue is made there, and 0.3 s later one for the old queue, and the reads go on
    Then not both are served
