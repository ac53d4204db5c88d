Feature: slots and overload

  @lossy
  Scenario: overload from three entries never exceeds a runner's slots
    Given a deployment of 3 entries and 2 runners over lossy links
    When 600 requests at once are sent over all entries, the later the shorter
    Then some requests were answered whole
    And every answer is true to the ledgers
    When the entries lose each other
    And 600 requests at once are sent over all entries, the later the shorter
    Then every runner had all its slots in use
    And every answer is true to the ledgers
    When every runner freezes
    And 400 requests with 4000 ms to their deadline are sent over all entries
    Then overload was told at once, with Retry-After and not run
    When every runner heals
    Then every answer is true to the ledgers
