Feature: refused jobs are remembered, reported and forgotten

  # Backlog that never returns would make the entries refuse by work that isn't there.
  Scenario Outline: a refused job counts as backlog until <what>
    Given an owner that was told of a job refused 1000 ms ago, to return in 5000 ms
    Then the job is expected to return
    When <what>
    Then no job is expected to return

    Examples:
      | what                                             |
      | the job is accepted                              |
      | 7500 ms pass and its entry reports it once more  |

  Scenario: the first refusal of a job stands, whichever entry refuses it again
    Given an owner that was told of a job refused 1000 ms ago, to return in 5000 ms
    When 3000 ms pass and another entry reports it as refused 200 ms ago
    Then its first refusal was 4000 ms ago

  Scenario: a report without the fields that were added to the interface is read
    Given an owner that was told of a job refused 1000 ms ago, without more
    Then the job is expected to return

  Scenario: an entry remembers 1024 refusals for 30 s and reports the newest 16
    Given an entry that refused 1100 jobs
    Then it remembers 1024 of them and reports the newest 16
    And after 30001 ms it remembers none

  Scenario: the margin is wide while few predictions have ended, and narrow after many good ones
    Then the ratio that nine of ten predictions exceed is below 0.4 without any
    And it is above 0.85 after 200 predictions that were within 10 percent
    And a job that already takes five times as long as predicted raises the median before it ends

  # Compared at different times, the returning job seemed to have aged more than the jobs accepted before it. It was
  # accepted as one that would be served next, and waited for all of them.
  Scenario: a refused job that returns before the next load summary is refused again
    Given an entry whose load summary has 60 waiting jobs that were accepted 100 ms before it
    When such a job is submitted 100 ms after the summary
    Then it is refused
    When it returns 1000 ms later
    Then it is refused
