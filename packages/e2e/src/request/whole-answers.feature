Feature: each caller receives the whole answer to its own request

  Scenario: many answers out of order, and answers of runners cut
    Given a deployment of 2 entries and 2 runners
    When 32 requests at once are sent over all entries, the later the shorter
    Then every answer is whole
    And every answer is true to the ledgers
    When runner-1-1 cuts its answers
    And 32 requests at once are sent over all entries, the later the shorter
    Then no answer is short
    And every answer is true to the ledgers
    When every runner cuts-answers
    And a booking named "short" at entry-1 is sent for 10 ms
    Then "short" ends as upstream-failed with ran unknown

  @lossy
  Scenario: late answers after cut links
    Given a deployment of 2 entries and 2 runners over lossy links
    When all links are delayed by 40 ms
    And 60 requests at once are started over all entries
    And all links are cut
    Then no answer is short
    And every answer is true to the ledgers
