Feature: submissions in the owner's next write

  Background:
    Given a submission that was admitted under version 5 of the configuration, to be sent within 500 ms

  Scenario Outline: the result that the entry gets from a write with its submission
    When the write that contains it <write>
    Then its entry gets <result>

    Examples:
      | write                                | result         |
      | is committed                         | done           |
      | finds that the job exists            | exists         |
      | finds version 6 of the configuration | config-changed |

  Scenario Outline: a submission without a result goes into the next write
    When the write that contains it <write>
    Then its entry gets no result yet
    When the write that contains it is committed
    Then its entry gets done

    Examples:
      | write                         |
      | conflicts with other progress |
      | is refused                    |
      | isn't answered                |

  Scenario Outline: a submission without a result in time counts as refused only if none of its writes may have been committed
    When the write that contains it <write>
    And <the end> before the next one
    Then its entry gets <result>

    Examples:
      | write                         | the end       | result  |
      | is refused                    | 600 ms pass   | refused |
      | conflicts with other progress | 600 ms pass   | refused |
      | isn't answered                | 600 ms pass   | unknown |
      | isn't answered                | the term ends | unknown |
      | is refused                    | the term ends | refused |

  Scenario: a submission that was admitted under an older configuration isn't sent
    Given another one that was admitted under version 6
    When the next write is made
    Then its entry gets config-changed
    And the write contains only the other one

  Scenario: a job that two entries have sent is only once in a write
    Given the same one sent by another entry
    When the next write is made
    Then the write contains 1 of them

  Scenario: submissions beyond the limit of a write wait for the next one
    Given 12 other submissions beside it
    When the next write is made
    Then the write contains 10 of them
