Feature: an HTTP server that closes connections which use more than the server may

  Scenario Outline: clients within the limits are served: <what>
    Given a bounded server for a process of 350 MB and 4096 descriptors
    When an HTTP client sends <what>
    Then it reads <count> answers with status <status>
    And no connection was closed for a limit

    Examples:
      | what                                 | count | status |
      | a body of 262144 bytes byte by byte  | 1     | 200    |
      | 200 GET requests ahead               | 200   | 200    |
      | 20 POST requests ahead               | 20    | 200    |
      | an HTTP/1.0 request without Host     | 1     | 200    |
      | an HTTP/1.1 request without Host     | 1     | 400    |
      | a request with an unknown Expect     | 1     | 417    |

  Scenario: a body that arrives byte by byte is kept in few blocks
    Given a bounded server for a process of 350 MB and 4096 descriptors
    When an HTTP client sends a body of 262144 bytes byte by byte
    Then the server has kept it in at most 65 blocks

  Scenario: a body that its handler reads leaves turns to other clients
    Given a bounded server for a process of 350 MB and 4096 descriptors
    When an HTTP client sends a body of 1000000 bytes at once
    Then it reads 1 answer with status 200
    And its handler got at most 8192 bytes in a turn of the event loop

  Scenario: idle connections and many clients at once are served
    Given a bounded server for a process of 350 MB and 4096 descriptors
    And 1000 idle connections
    Then 1000 clients that send a request at once are each answered with 200
    And no connection was closed for a limit

  Scenario: an unfinished body that uses most of the memory is refused
    Given a bounded server for a process of 32 MB and 4096 descriptors
    When an HTTP client sends all but the end of a body that exceeds 4 MB
    Then it reads 1 answer with status 503
    And the answer says when to try again
    And the request was not handled
    And another client is answered with 200

  Scenario: few requests that were sent ahead are parsed before earlier ones are answered
    Given a bounded server for a process of 350 MB and 4096 descriptors
    And handlers that don't answer yet
    When an HTTP client sends 2000 GET requests ahead
    Then another client's request is handled
    And at most 40 requests were handled
    And the client reads 2000 answers with status 200 once the handlers answer

  Scenario: connections with unanswered requests are closed when they use most of the memory
    Given a bounded server for a process of 8 MB and 4096 descriptors
    And handlers that don't answer yet
    When 10 HTTP clients send 2000 GET requests ahead
    Then connections are closed for the limit of memory
    And another client's request is handled

  Scenario: idle connections make room for another one
    Given a bounded server for a process of 350 MB and 40 descriptors
    And 20 idle connections
    Then another client is answered with 200
    And an idle connection was closed for the limit of connections
