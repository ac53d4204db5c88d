Feature: submissions that go along with the owner's next write

  Background:
    Given a submission that was let through by version 5 of the configuration, and 500 ms to send it

  Scenario Outline: what its entry is told of a write that had it
    When the write that has it <comes to>
    Then its entry is told <told>

    Examples:
      | comes to                                      | told           |
      | is done                                       | done           |
      | finds the job there                           | exists         |
      | finds version 6 of the configuration          | config-changed |

  Scenario Outline: a write that settles nothing is followed by another
    When the write that has it <comes to>
    Then its entry is told nothing yet
    When the write that has it is done
    Then its entry is told done

    Examples:
      | comes to             |
      | finds other progress |
      | is refused           |
      | isn't answered       |

  Scenario Outline: what wasn't settled in time is surely undone only if each write of it was refused
    When the write that has it <comes to>
    And <the end> before the next one
    Then its entry is told <told>

    Examples:
      | comes to             | the end             | told    |
      | is refused           | 600 ms pass         | refused |
      | finds other progress | 600 ms pass         | refused |
      | isn't answered       | 600 ms pass         | unknown |
      | isn't answered       | the term ends       | unknown |
      | is refused           | the term ends       | refused |

  Scenario: one that was let through by an older configuration isn't sent
    Given another one that was let through by version 6
    When the next write is made
    Then its entry is told config-changed
    And the write has the other one only

  Scenario: one job that two entries have handed over goes once in a write
    Given the same one handed over by another entry
    When the next write is made
    Then the write has 1

  Scenario: more than a write takes wait for the next one
    Given 12 others beside it
    When the next write is made
    Then the write has 10
