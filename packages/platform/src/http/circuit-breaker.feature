Feature: circuit breaker of a store client

  Background:
    Given a circuit breaker that opens after 2 failures for 1000 ms

  Scenario: it opens after consecutive failures
    When the circuit breaker records "fail,fail"
    Then the circuit breaker rejects a call

  Scenario: a success between failures keeps it closed
    When the circuit breaker records "fail,succeed,fail"
    Then the circuit breaker admits a call

  Scenario: after its open period it admits one probe
    When the circuit breaker records "fail,fail"
    And 1000 ms pass for the circuit breaker
    Then the circuit breaker admits a call
    And the circuit breaker rejects a call

  Scenario: a successful probe closes it
    When the circuit breaker records "fail,fail"
    And 1000 ms pass for the circuit breaker
    And the circuit breaker records "succeed"
    Then the circuit breaker admits a call
    And the circuit breaker has reported "open,closed"
