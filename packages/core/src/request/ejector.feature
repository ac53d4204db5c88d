Feature: ejector

  Scenario: a runner that stops answering is ejected
    Given an ejector over 10 runners
    When runner "r0" gets requests and answers none for 2000 ms
    Then the ejector has out "r0"

  Scenario: a runner in use that answers something isn't silent
    Given an ejector over 10 runners
    When runner "r0" has one slow request and answers others for 5000 ms
    Then the ejector has out ""

  Scenario: a runner slower than its peers is ejected
    Given an ejector over 10 runners
    When every runner answers 20 requests in 40 ms but "r3" in 400 ms
    Then the ejector has out "r3"

  Scenario: a slow hour for all ejects nobody
    Given an ejector over 10 runners
    When every runner answers 20 requests in 40 ms but "none" in 400 ms
    And every runner answers 20 requests in 400 ms but "none" in 400 ms
    Then the ejector has out ""

  Scenario: failures in a row eject, but at most a share of the runners
    Given an ejector over 10 runners
    When 6 runners fail 5 requests each
    Then the ejector has out "r0,r1,r2"

  Scenario: probes one at a time bring a runner back
    Given an ejector over 10 runners
    When 1 runners fail 5 requests each
    And the ejector waits 5000 ms
    Then the ejector gives "r0" one request at a time
    When runner "r0" answers 3 probes
    Then the ejector has "r0" closed

  Scenario: a failed probe doubles the ejection
    Given an ejector over 10 runners
    When 1 runners fail 5 requests each
    And the ejector waits 5000 ms
    And 1 runners fail 1 requests each
    And the ejector waits 9999 ms
    Then the ejector has out "r0"
    When the ejector waits 1 ms
    Then the ejector has out ""
