Feature: the choice of the connection to close when a server's limits are exceeded

  Scenario: within the limits
    Given a server that may have 2 connections and 100 bytes
    When connection a takes 60 bytes and connection b takes 40 bytes
    Then no connection is to be closed

  Scenario: too many connections
    Given a server that may have 2 connections and 100 bytes
    When connections a, b and c take 10 bytes each
    And connection a is active
    Then connection b is to be closed for the limit of connections

  Scenario: too much memory
    Given a server that may have 3 connections and 100 bytes
    When connections a, b and c take 10 bytes each
    And connection b takes 80 bytes more
    Then connection b is to be closed for the limit of memory

  Scenario: connections that use as much as each other
    Given a server that may have 3 connections and 25 bytes
    When connections a, b and c take 10 bytes each
    And connection a is active
    Then connection b is to be closed for the limit of memory

  Scenario: a connection that uses slightly more than others
    Given a server that may have 3 connections and 96 bytes
    When connections a, b and c take 33 bytes each
    And connection b takes 1 byte more
    Then connection a is to be closed for the limit of memory

  Scenario: a closed connection frees its share
    Given a server that may have 3 connections and 25 bytes
    When connections a, b and c take 10 bytes each
    And connection c is closed, and then takes 50 bytes more
    Then no connection is to be closed
