@entry-http
Feature: HTTP of an entry

  Scenario: an unknown path is a problem
    Given an entry's HTTP server
    When the HTTP server gets "GET /v1/nowhere"
    Then the HTTP answer is problem "not-found" with status 404

  Scenario: a body beyond the bound is a problem
    Given an entry's HTTP server that takes 2048 bytes
    When the HTTP server gets "POST /v1/requests/book" with 2049 bytes
    Then the HTTP answer is problem "too-large" with status 413

  Scenario: bad JSON is a problem
    Given an entry's HTTP server
    When the HTTP server gets "POST /v1/upstreams" of an upstream with body "{no"
    Then the HTTP answer is problem "bad-input" with status 400

  Scenario: a failing handler is a problem that leaves open whether it ran
    Given an entry's HTTP server
    When the HTTP server gets "GET /test/fails"
    Then the HTTP answer is problem "internal" with status 500

  Scenario: headers beyond the bound are refused
    Given an entry's HTTP server that listens
    When the HTTP server gets 20000 bytes of headers
    Then the HTTP connection is answered with status 400 and closed

  Scenario: an entry is ready once a bundle is in force
    Given an entry's HTTP server without a bundle
    When the HTTP server gets "GET /ready"
    Then the HTTP answer has status 503
    When a bundle is put in force at the HTTP server
    And the HTTP server gets "GET /ready"
    Then the HTTP answer has status 200

  Scenario: an entry without a bundle doesn't take a token for a wrong one
    Given an entry's HTTP server without a bundle
    When the HTTP server gets "POST /v1/requests/match"
    Then the HTTP answer is problem "overloaded" with status 503
    When a bundle without that token is put in force at the HTTP server
    And the HTTP server gets "POST /v1/requests/match"
    Then the HTTP answer is problem "not-authenticated" with status 401

  Scenario: a draining entry is healthy but not ready
    Given an entry's HTTP server
    When the HTTP server's entry drains
    And the HTTP server gets "GET /ready"
    Then the HTTP answer is problem "draining" with status 503
    When the HTTP server gets "GET /health"
    Then the HTTP answer has status 200

  Scenario: a token that left the bundle is refused
    Given an entry's HTTP server
    When a bundle without that token is put in force at the HTTP server
    And the HTTP server gets "POST /v1/requests/book" with 3 bytes
    Then the HTTP answer is problem "not-authenticated" with status 401

  Scenario: an upstream without a guard is told that it needs one
    Given an entry's HTTP server
    When the HTTP server gets "POST /v1/upstreams" of an upstream with a runner
    Then the HTTP answer is problem "not-allowed" with status 403
    And the HTTP server's entry lists the runner as unguarded

  Scenario: an upstream's announcement without the derived token is refused
    Given an entry's HTTP server
    When the HTTP server gets "POST /v1/upstreams" with 3 bytes
    Then the HTTP answer is problem "not-authenticated" with status 401
