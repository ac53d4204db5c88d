@stand-in
Feature: stand-in platform

  Background:
    Given a stand-in platform with a table client through a proxy

  Scenario Outline: the table client's writes under the stand-in's faults
    Given the stand-in platform is told '<faults>'
    When the stand-in platform's client writes a row
    Then that write to the stand-in platform ends as "<end>"
    And the stand-in platform has <rows> rows

    Examples:
      | faults              | end     | rows |
      | {}                  | written | 1    |
      | {"loseAnswers": 1}  | written | 1    |
      | {"loseAnswers": 9}  | written | 1    |
      | {"loseWrites": 9}   | not-run | 0    |
      | {"down": true}      | not-run | 0    |

  Scenario: a write to a table that hangs is unknown
    Given the stand-in platform's client gives up after 400 ms
    And the stand-in platform is told '{"hang": true}'
    When the stand-in platform's client writes a row
    Then that write to the stand-in platform ends as "unknown"

  Scenario: writes beyond its rate have no effect
    Given the stand-in platform is told '{"writesPerSecond": 1}'
    When the stand-in platform's client writes 20 rows at once
    Then the stand-in platform has a row for each write that ended as written
    And the stand-in platform refused some of them

  Scenario: a client goes on when its kept connections have gone silent
    When the stand-in platform's client writes a row
    And the proxy silences "both" ways of the connections open now
    Then the stand-in platform's client reads version 1

  Scenario: a write whose answers are swallowed is settled over a new connection
    Given the stand-in platform's client has read a row
    When the proxy silences "to-client" ways of the connections open now
    And the stand-in platform's client writes a row
    Then that write to the stand-in platform ends as "written"
    And the stand-in platform has 1 rows

  Scenario: objects are kept under any key
    When the stand-in platform's client puts the object "bundles/a b%"
    Then the stand-in platform's client gets the object "bundles/a b%" whole
    And the stand-in platform's client finds no object "bundles/a"

  Scenario: unknown faults are refused
    Then the stand-in platform refuses the faults '{"dwn": true}'
