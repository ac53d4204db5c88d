Feature: circuit breaker of a store client

  Background:
    Given a circuit breaker that opens after 2 failures for 1000 ms

  Scenario: it opens after failures in a row
    When the circuit breaker sees "fail,fail"
    Then the circuit breaker keeps calls away

  Scenario: a success between failures keeps it closed
    When the circuit breaker sees "fail,succeed,fail"
    Then the circuit breaker lets a call through

  Scenario: after its time it lets one call through
    When the circuit breaker sees "fail,fail"
    And 1000 ms pass for the circuit breaker
    Then the circuit breaker lets a call through
    And the circuit breaker keeps calls away

  Scenario: a success closes it
    When the circuit breaker sees "fail,fail"
    And 1000 ms pass for the circuit breaker
    And the circuit breaker sees "succeed"
    Then the circuit breaker lets a call through
    And the circuit breaker has said "open,closed"
