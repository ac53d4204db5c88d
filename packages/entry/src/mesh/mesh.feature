@mesh
Feature: links of entries

  Scenario: a request runs over a real link
    Given a linked entry "entry-a"
    And a linked guard "guard-1" of a runner that answers "proof"
    When a caller of the linked entry requests "book"
    Then the linked caller gets "proof"

  Scenario: a request lost with its link is settled on the next one
    Given a linked entry "entry-a"
    And a linked guard "guard-1" of a runner that drops the link and then answers "booked"
    When a caller of the linked entry requests "book"
    Then the linked caller gets "booked"

  Scenario: two entries have one link, dialled by the lower id
    Given a linked entry "entry-b"
    And a linked entry "entry-a" that knows "entry-b"
    Then both linked entries see each other

  Scenario: a draining entry tells its parts before it stops
    Given a linked entry "entry-a" with a part that hands over
    When the linked entry drains and stops
    Then the linked part was started, drained and stopped in that order

  Scenario: two parts that answer one method are refused
    Given a linked entry "entry-a" with two parts that answer "job.cancel" is refused
