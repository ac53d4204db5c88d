Feature: links

  Scenario: a call is answered
    Given a link between two processes
    Then a call on the link answers "hello"

  Scenario: responses out of order reach the calls they belong to
    Given a link between two processes
    Then 50 calls on the link, answered in any order, each get their own answer

  Scenario: a problem reported by a handler reaches the caller
    Given a link between two processes
    Then a call on the link whose handler reports a problem rejects with "draining"

  Scenario: a request that doesn't match its schema is refused
    Given a link between two processes
    Then a call on the link with an invalid request rejects with "bad-input"

  Scenario: a response that is too long is reported to the caller
    Given a link between two processes
    Then a call on the link with a response over the frame limit rejects with "too-large"
    And a call on the link answers "hello"

  Scenario: a call without a response within its timeout is lost
    Given a link between two processes
    Then a call on the link that is never answered rejects with "lost"

  Scenario: the number of calls in flight is limited
    Given a link between two processes
    Then one call more than the link allows rejects with "overloaded"

  Scenario: calls in flight are lost with their link and the dialer redials
    Given a link between two processes
    When the link's connection is cut with a call in flight
    Then the call in flight rejects with "lost"
    And the link comes back on a new connection
    And a call on the link answers "hello"
    And the old link's calls reject with "not-sent"

  Scenario: a half-open connection is detected by its silence
    Given a link between two processes
    When the link's connection drops all traffic both ways with a call in flight
    Then the call in flight rejects with "lost"
    And both ends of the link count "link.closed.silence"
    And the link comes back on a new connection

  Scenario: a connection that fails in one direction only is detected too
    Given a link between two processes
    When the link's connection drops the traffic to the server
    Then the link comes back on a new connection

  Scenario: heartbeats carry the bundle version
    Given a link between two processes
    Then both ends of the link receive the other's bundle version

  Scenario: an older key is still accepted
    Given a link whose dialer has a newer key that the server lacks
    Then a call on the link answers "hello"

  Scenario: a dialer without the server's key is refused
    Given a link server dialled by a process without its key
    Then the link server counts "link.closed.not-authentic"

  Scenario: a server without the dialer's key gets no calls
    Given a link dialer that reaches a server without its key
    Then the link dialer counts "link.closed.not-authentic"

  Scenario: a server with another process id is refused
    Given a link dialer that expects a process with another id
    Then the link dialer counts "link.closed.wrong-peer"

  # The exception reached whoever had read the address, and its loop over other addresses ended.
  Scenario Outline: an address that no connection can have counts as unreachable
    Given a link dialer with the address <address>
    Then the link dialer counts "link.closed.unreachable" 2 times

    Examples:
      | address         |
      | 127.0.0.1:65536 |
      | 127.0.0.999:80  |
      | [::::]:80       |

  Scenario: a newer incarnation replaces the older one, which can't reconnect
    Given a link between two processes
    When a newer incarnation of the dialer dials the link server
    Then the older incarnation's link is closed as "superseded"
    And the link server counts "link.closed.stale-incarnation"
    And the link server has 1 links

  Scenario: an unauthenticated dialer replaces no link
    Given a link between two processes
    When a dialer with the same id but without the key dials the link server
    Then the link server counts "link.closed.not-authentic"
    And a call on the link answers "hello"

  Scenario: the number of unauthenticated connections is limited
    Given a link between two processes
    When 9 clients connect to the link server and send nothing
    Then the link server counts "link.closed.too-many"
    And the link server counts "link.closed.handshake-timeout"
    And a call on the link answers "hello"

  # New connections were refused while others held all places, so that no peer could link.
  Scenario: connections that don't authenticate make room for a peer
    Given a link server whose handshakes may take 60 s
    When 8 clients connect to the link server and send nothing
    Then a dialer links to the server
    And the link server counts "link.closed.too-many"

  # Frames of the maximum size were read from clients without a key.
  Scenario: a client that isn't authenticated can't send long messages
    Given a link between two processes
    When a client sends the link server a message of 100000 bytes before it proves itself
    Then the link server counts "link.closed.oversized"
    And a call on the link answers "hello"

  Scenario Outline: a bad message closes only its own link
    Given a link between two processes
    When an authenticated peer sends the link server a message that is <bad>
    Then the link server counts "link.closed.<reason>"
    And a call on the link answers "hello"

    Examples:
      | bad       | reason    |
      | oversized | oversized |
      | garbled   | garbled   |
      | truncated | garbled   |
      | text      | garbled   |

  Scenario: frames and bytes of a link are counted at both ends
    Given a link between two processes
    When 20 calls on the link are answered and the dialer closes it
    Then both ends of the link counted the same frames and bytes to the server
    And the link server's metrics equal the counts of its link

  Scenario: traffic of an open link reaches the metrics
    Given a link between two processes
    Then both ends of the link count "link.bytes.out" with their heartbeats
