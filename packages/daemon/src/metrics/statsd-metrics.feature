@statsd-metrics
Feature: figures to a collector

  Scenario: figures share datagrams
    Given a collector of figures and metrics that send to it
    When the metrics count "request.answered" 50 times and close
    Then the collector gets 50 figures in at most 4 datagrams

  Scenario: a timing is sent once
    Given a collector of figures and metrics that send to it
    When the metrics time "request.ms" at 12 ms and close
    Then the collector gets only "zincspan.request.ms:12|ms"
    And the metrics keep 1 of "request.ms" and 12 of "request.ms.ms"
