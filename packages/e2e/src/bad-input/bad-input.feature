Feature: bad input over the wire

  Scenario: garbage on every port leaves every daemon up
    Given a deployment of 2 entries and 2 runners
    When garbage is sent to every port of every daemon 30 times
    And memory in use is noted
    And garbage is sent to every port of every daemon 60 times
    Then memory has grown by less than 24 MB in every daemon
    And every daemon runs as before
    And all upstreams get work from all entries again
    When 32 requests at once are sent over all entries, the later the shorter
    Then every answer is whole
    And every answer is true to the ledgers

  Scenario: bodies, tokens and names that callers make up
    Given a deployment of 1 failure domain with 2 entries, 1 runner and 1 worker in each
    When crews sends any bytes as a match request to entry-1, they come back as they were
    And crews sends any JSON as a job to entry-2, it is accepted whole or refused as not run
    And a booking of 300000 bytes is refused as too-large at entry-1
    And crews submits a entry job named "deed" of 1 tasks with 1 accelerator to entry-1 that runs 100 ms
    Then weddings neither sees nor cancels job "deed" at entry-2
    And wrong tokens are refused at every route of entry-1
    And crews waits at entry-2 until job "deed" has ended
    And job "deed" has succeeded
    And every daemon runs as before

  Scenario: settings that operators get wrong
    Given a deployment of 1 failure domain with 1 entries, 0 runners and 0 workers in each
    Then any field of the settings gone wrong is refused with its name and a remedy
