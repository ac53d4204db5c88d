Feature: entries use only a load summary that is of the present owner, new and readable

  Background:
    Given an entry and a summary of term 3 in which no capacity is free for 32 s

  Scenario: a job that cannot be served is refused by a summary that may be used
    When the owner sends the summary
    Then the entry refuses a job

  # Entries that go on refusing by an old summary would turn callers away from a cell that is free again.
  Scenario Outline: the entry accepts while <what>
    When the owner sends the summary
    And <what>
    Then the entry accepts a job

    Examples:
      | what                                               |
      | the summary gets older than 2400 ms                |
      | the link to the owner is lost                      |
      | the next status has no summary                     |
      | the next status has half a summary                 |
      | an owner of term 4 sends no summary yet            |
      | an owner of term 4 sends a summary of a free fleet |

  Scenario: of two owners' summaries that cross, that of the higher term counts
    When the owner sends the summary
    And an owner of term 4 sends a summary of a free fleet
    And the owner of term 3, which returns after a pause, sends its summary again
    Then the entry accepts a job

  Scenario: a summary that cannot be decoded is counted each time and logged once
    When the next status has half a summary
    And the next status has half a summary
    Then 2 unreadable summaries were counted and 1 was logged

  Scenario: a summary with fields of a later version can be read
    When the owner sends the summary with fields that this version doesn't know
    Then the entry refuses a job

  Scenario: an entry that was restarted treats refused ids as new
    When the owner sends the summary
    And the entry refuses a job
    And the entry is restarted
    And the owner sends the summary
    Then the entry refuses the same job, with no time since a first refusal

  Scenario Outline: <job> is never refused
    When the owner sends the summary
    Then the entry accepts <job>

    Examples:
      | job                                        |
      | an urgent job within its account's guarantee |
      | an urgent job that may stop others' |
      | a job that is due later                    |
      | a job whose tasks last                     |
      | a job of a queue that isn't in the summary |
      | a job that is too large for its objective  |

  # A status on every link of 1,100 guards and all entries must not grow with the cell.
  Scenario: the summary stays within its size at 40 queues, 390 accounts, 512 refused jobs and 1,100 workers
    When a summary of 40 queues, 390 accounts, 512 refused jobs, 1100 workers and 2000 waiting jobs is built
    Then it takes at most 2048 bytes
    And its work is complete with the rests
