@stand-in
Feature: lossy proxy

  Background:
    Given an echo server behind a lossy proxy

  Scenario: bytes arrive in order when the delay is changed on the way
    When the lossy proxy's client sends "a" under a delay of 30 ms
    And the lossy proxy's client sends "b" under a delay of 0 ms
    Then the lossy proxy's client receives "ab"

  Scenario: a silenced connection stays open and swallows, a new one works
    When the lossy proxy silences "to-server" on its open connections
    And the lossy proxy's client sends "a" under a delay of 0 ms
    And the lossy proxy's client dials anew
    And the lossy proxy's client sends "b" under a delay of 0 ms
    Then the lossy proxy's client receives "b"
    And the lossy proxy's echo server got "b"
    And the lossy proxy has 2 connections open

  Scenario: a cut ends both sides
    When the lossy proxy cuts its open connections
    Then the lossy proxy's client is closed
