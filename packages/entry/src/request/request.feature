@request-path
Feature: request path

  Scenario: a caller gets the runner's whole answer
    Given a request path with runners "r1"
    And request runner "r1" answers "proof"
    When a caller requests "match"
    Then the request answers 200 with "proof"
    And the request's answer has type "text/plain" and a request id

  Scenario: a request without a token is refused
    Given a request path with runners "r1"
    When a stranger requests "match"
    Then the request is refused with "not-authenticated", status 401, ran "not-run"

  Scenario: a kind that the bundle lacks is refused
    Given a request path with runners "r1"
    When a caller requests "sing"
    Then the request is refused with "not-found", status 404, ran "not-run"

  Scenario: a request that was not sent goes to another runner
    Given a request path with runners "r1, r2"
    And request runner "r2" answers "proof"
    And the request link to "r1" fails before it sends
    When a caller requests "book"
    Then the request answers 200 with "proof"

  # Several runners that left at once used up an account's retries, and its callers got refusals beside a free runner.
  Scenario: requests refused by leaving runners go to another one whatever the retry budget
    Given a request path with runners "r1, r2, r3, r4" and a retry budget of 0.1
    And request runners "r1, r2, r3" are draining
    And request runner "r4" answers "booked"
    When a caller requests "book" 20 times
    Then each request answers 200

  Scenario: a lost answer is settled at the same guard incarnation
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request link to "r1" breaks once it was sent
    And request guard "r1" is linked again and settles "ended" with "booked"
    Then the request answers 200 with "booked"

  Scenario: a lost request that is still running is waited for
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request link to "r1" breaks once it was sent
    And request guard "r1" is linked again and settles "running", then "ended" with "booked"
    Then the request answers 200 with "booked"

  Scenario: a request that its guard never saw goes to another runner
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request link to "r1" breaks once it was sent
    And request runner "r2" joins and answers "booked"
    And request guard "r1" is linked again and settles "never-seen" with ""
    Then the request answers 200 with "booked"

  Scenario: a non-idempotent request lost with its guard is unknown at once
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request link to "r1" breaks once it was sent
    And request runner "r2" joins and answers "booked"
    And request guard "r1" comes back as another incarnation
    Then the request is refused with "upstream-lost", status 502, ran "unknown"
    And request runner "r2" ran nothing

  Scenario: a non-idempotent request is given up when its guard has left
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request link to "r1" breaks once it was sent
    And request upstream "r1" expires
    Then the request is refused with "upstream-lost", status 502, ran "unknown"

  Scenario: an idempotent request lost with its guard runs elsewhere
    Given a request path with runners "r1"
    When a caller starts to request "match"
    And the request link to "r1" breaks once it was sent
    And request runner "r2" joins and answers "proof"
    And request guard "r1" comes back as another incarnation
    Then the request answers 200 with "proof"

  Scenario: a deadline that passes leaves open whether it ran
    Given a request path with runners "r1"
    When a caller requests "book" within 30 ms
    Then the request is refused with "deadline-passed", status 504, ran "unknown"
    And request guard "r1" is told to cancel it

  Scenario: a caller that leaves cancels its request
    Given a request path with runners "r1"
    When a caller requests "book" over the network and leaves once it was sent
    Then request guard "r1" is told to cancel it
    When the request path drains once it was sent
    Then the request path has drained

  Scenario: an answer cut short is not passed on
    Given a request path with runners "r1"
    And request runner "r1" answers "pro" of 5 bytes
    When a caller requests "book"
    Then the request is refused with "upstream-failed", status 502, ran "ran"

  Scenario: an account at its quota is refused with the bound
    Given a request path with runners "r1" and a quota of 1
    When a caller starts to request "book"
    And a caller requests "book"
    Then the request is refused with "quota-exceeded", status 429, ran "not-run"
    And the request's refusal names a bound of 1 and when to come back

  Scenario: an overloaded runner's refusal is passed on at once
    Given a request path with runners "r1"
    And request runner "r1" is overloaded for 2500 ms
    When a caller requests "book"
    Then the request is refused with "overloaded", status 503, ran "not-run"
    And the request may be sent again after 3 s

  Scenario: a retry after an unknown end never says not run
    Given a request path with runners "r1"
    When a caller starts to request "match"
    And the request link to "r1" breaks once it was sent
    And request runner "r2" joins and is overloaded for 1000 ms
    And request guard "r1" comes back as another incarnation
    Then the request is refused with "overloaded", status 503, ran "unknown"

  Scenario: a slow idempotent request is hedged and its first copy cancelled
    Given a request path with runners "r1, r2"
    And requests for "match" were mostly fast
    When a caller requests "match"
    And both request runners have it and the later answers "proof"
    Then the request answers 200 with "proof"
    And the earlier request runner is told to cancel it

  Scenario: a draining entry finishes requests and refuses new ones
    Given a request path with runners "r1"
    When a caller starts to request "book"
    And the request path drains once it was sent
    And a caller requests "book"
    Then the request is refused with "draining", status 503, ran "not-run"
    And the request path is not ready
    When request runner "r1" answers its request with "booked"
    Then the first request answers 200 with "booked"
    And the request path has drained
