Feature: links

  Scenario: a call is answered
    Given a link between two processes
    Then a call on the link answers "hello"

  Scenario: answers out of order reach their own callers
    Given a link between two processes
    Then 50 calls on the link, answered in any order, each get their own answer

  Scenario: a refusal travels back as its problem
    Given a link between two processes
    Then a call on the link that is refused rejects with "draining"

  Scenario: a call that isn't as agreed is refused
    Given a link between two processes
    Then a garbled call on the link rejects with "bad-input"

  Scenario: an answer that is too long is told so
    Given a link between two processes
    Then a call on the link that answers too much rejects with "too-large"
    And a call on the link answers "hello"

  Scenario: a call without an answer in time is lost
    Given a link between two processes
    Then a call on the link that is never answered rejects with "lost"

  Scenario: calls in flight are bounded
    Given a link between two processes
    Then one call more than the link allows rejects with "overloaded"

  Scenario: calls in flight are lost with their link and the dialer comes back
    Given a link between two processes
    When the link's connection is cut with a call in flight
    Then the call in flight rejects with "lost"
    And the link comes back on a new connection
    And a call on the link answers "hello"
    And the old link's calls reject with "not-sent"

  Scenario: a half-open link is found by its silence
    Given a link between two processes
    When the link's connection swallows everything with a call in flight
    Then the call in flight rejects with "lost"
    And both ends of the link count "link.closed.silence"
    And the link comes back on a new connection

  Scenario: a link that swallows one way only is found too
    Given a link between two processes
    When the link's connection swallows what goes to the server
    Then the link comes back on a new connection

  Scenario: heartbeats carry the bundle version
    Given a link between two processes
    Then the link tells both ends the other's bundle version

  Scenario: an older key is still accepted
    Given a link whose dialer has a newer key that the server lacks
    Then a call on the link answers "hello"

  Scenario: a dialer without a key of ours is turned away
    Given a link server that a dialer without its key dials
    Then the link server counts "link.closed.not-authentic"

  Scenario: a server without a key of ours gets no calls
    Given a link dialer that reaches an impostor
    Then the link dialer counts "link.closed.not-authentic"

  Scenario: a process with another name is refused
    Given a link dialer that expects another process
    Then the link dialer counts "link.closed.wrong-peer"

  Scenario: a newer incarnation takes over and the older can't come back
    Given a link between two processes
    When a newer incarnation of the dialer dials the link server
    Then the older incarnation's link is closed as "superseded"
    And the link server counts "link.closed.stale-incarnation"
    And the link server has 1 links

  Scenario: an unproved newcomer replaces nobody
    Given a link between two processes
    When a dialer of the same name without the key dials the link server
    Then the link server counts "link.closed.not-authentic"
    And a call on the link answers "hello"

  Scenario: connections in their handshake are bounded
    Given a link between two processes
    When 9 strangers connect to the link server and say nothing
    Then the link server counts "link.closed.too-many"
    And the link server counts "link.closed.handshake-timeout"
    And a call on the link answers "hello"

  Scenario Outline: a bad frame closes its link and nothing else
    Given a link between two processes
    When a proved peer sends the link server a frame that is <bad>
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
    And the link server's metrics hold what its link counted

  Scenario: what crosses a link reaches the metrics while it lives
    Given a link between two processes
    Then both ends of the link count "link.bytes.out" with their heartbeats
