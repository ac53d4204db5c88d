@upstream-call
Feature: calls of the upstream beside a guard

  # Servers close idle connections; a request that is sent at that moment is lost, and whether it ran is unknown.
  Scenario: a connection is used again at once, and not after it was idle for seconds
    Given an upstream that counts its connections
    When it is called twice, 10 ms apart
    Then it has accepted 1 connection
    When it is called once more 2500 ms later
    Then it has accepted 2 connections

  Scenario: a call that takes longer than idle connections are kept is answered
    Given an upstream that counts its connections, and answers after 2200 ms
    When it is called twice, 10 ms apart
    Then it has accepted 1 connection
