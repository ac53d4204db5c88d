@request-path
Feature: repeated requests

  Scenario: a repeat with the same key gets the first answer
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    When a keyed "book" is sent with key "k1"
    And a keyed "book" is repeated with key "k1"
    Then both keyed answers are "booked 1" with one request id
    And keyed runners ran 1 request

  Scenario: a repeat at another entry is settled at the guard
    Given a keyed request path with runners "r1"
    When a keyed "book" with key "k1" loses its caller while it runs
    And its guard settles "ended" with "booked" at another entry
    And a keyed "book" is repeated there with key "k1"
    Then the keyed answer is "booked"
    And keyed runners ran 1 request

  Scenario: a repeat of what the guard never saw runs
    Given a keyed request path with runners "r1"
    When a keyed "book" with key "k1" loses its caller while it runs
    And its guard settles "never-seen" with "" at another entry
    And keyed runner "r1" answers "booked" there
    And a keyed "book" is repeated there with key "k1"
    Then the keyed answer is "booked"

  Scenario: a refused repeat gets the answer of a try that came between
    Given a keyed request path with runners "r1"
    When a keyed "book" with key "k1" loses its caller while it runs
    And its guard settles "never-seen" at another entry just as another try gets "booked" and it drains
    And a keyed "book" is repeated there with key "k1"
    Then the keyed answer is "booked"

  Scenario: a request barred by a repeat goes to another runner
    Given a keyed request path with runners "r1"
    And keyed runner "r1" bars the id, and "r2" joins and answers "booked"
    When a keyed "book" is sent with key "k1"
    Then the keyed answer is "booked"

  Scenario: a repeat after the guard restarted is unknown, and stays so
    Given a keyed request path with runners "r1"
    When a keyed "book" with key "k1" loses its caller while it runs
    And its guard restarts at another entry
    And a keyed "book" is repeated there with key "k1"
    Then the keyed request is refused with "upstream-lost", ran "unknown"
    When a keyed "book" is repeated there with key "k1"
    Then the keyed request is refused with "upstream-lost", ran "unknown"

  Scenario: a repeat whose guard isn't linked is unknown
    Given a keyed request path with runners "r1"
    When a keyed "book" with key "k1" loses its caller while it runs
    And another entry knows no guard
    And a keyed "book" is repeated there with key "k1"
    Then the keyed request is refused with "upstream-lost", ran "unknown"

  Scenario: a key used for another request is refused
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    When a keyed "book" is sent with key "k1"
    And a keyed "book" of something else is sent with key "k1"
    Then the keyed request is refused with "key-reused", ran "not-run"

  Scenario: with the table down a keyed request is unknown
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    And the key table is down
    When a keyed "book" is sent with key "k1"
    Then the keyed request is refused with "store-unavailable", ran "unknown"
    And keyed runners ran 0 requests

  Scenario: with the table down a request without a key goes on
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    And the key table is down
    When a keyed "book" is sent without a key
    Then the keyed answer is "booked 1"

  Scenario: a lost answer of the claim's write sends nothing
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    And the key table loses the answer of a write
    When a keyed "book" is sent with key "k1"
    Then the keyed request is refused with "store-unavailable", ran "unknown"
    And keyed runners ran 0 requests

  Scenario: a key whose request didn't run is free again
    Given a keyed request path with runners "r1"
    And keyed runner "r1" is full once and then answers "booked"
    When a keyed "book" is sent with key "k1"
    Then the keyed request is refused with "overloaded", ran "not-run"
    When a keyed "book" is repeated with key "k1"
    Then the keyed answer is "booked"

  Scenario: a slow table doesn't hold a request past its deadline
    Given a keyed request path with runners "r1"
    And the key table never answers
    When a keyed "book" is sent with key "k1" and 30 ms
    Then the keyed request is refused with "deadline-passed", ran "unknown"

  Scenario: an answer too long for its row is asked of the guard
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers 9000 bytes and settles with as many
    When a keyed "book" is sent with key "k1"
    And a keyed "book" is repeated with key "k1"
    Then the keyed answer has 9000 bytes
    And keyed runners ran 1 request

  Scenario: old keys are deleted
    Given a keyed request path with runners "r1"
    And keyed runner "r1" answers "booked 1", then "booked 2"
    And the calendar is 25 hours behind
    When a keyed "book" is sent with key "k1"
    And the calendar is right again and the keys are swept
    Then no key is left
