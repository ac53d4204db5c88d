Feature: submissions under load are refused where they cannot be served in time

  A model of a cell with 20 workers, 4 entries and 10 accounts plays 60 s of arrivals in virtual time, and lets refused callers return
  up to four times. Without admission every job is accepted, and all of them become useless together once the backlog is longer
  than what a caller waits for.

  Scenario Outline: what callers get at <load> times the capacity by <whom>
    When 60 s of arrivals at <load> times the capacity by <whom> are played, with and without admission
    Then at least <useful> percent of the jobs accepted at once are served while they are of use
    And more jobs are served while of use than without admission, or at least 95 percent of as many
    And each refusal says when to return, in 1 to 25 s
    And each accepted job ran once, and no other job ran
    And callers that are told to return together are at most 12 in a second

    Examples:
      | load | whom              | useful |
      | 1.2  | one account       | 90     |
      | 2    | one account       | 90     |
      | 4    | one account       | 90     |
      | 1.2  | all accounts      | 90     |
      | 2    | all accounts      | 90     |
      | 4    | all accounts      | 90     |
      | 1.2  | large gangs alone | 90     |
      | 2    | large gangs alone | 90     |
      | 4    | large gangs alone | 90     |

  Scenario Outline: a burst of one account at <load> times the capacity doesn't keep the others from being served
    When 60 s of arrivals at <load> times the capacity by one account are played, with and without admission
    Then at least 95 percent of the other accounts' jobs are served while of use

    Examples:
      | load |
      | 1.2  |
      | 2    |
      | 4    |

  Scenario Outline: nothing is refused while the load is <load> of the capacity
    When 60 s of arrivals at <load> times the capacity by all accounts are played, with and without admission
    Then no job was refused

    Examples:
      | load |
      | 0.3  |
      | 0.6  |

  Scenario: every job whose caller keeps returning is served after an overload
    When 10 s of arrivals at 4 times the capacity by all accounts are played, with and without admission
    Then at least 95 percent of the jobs ran in the end, of every account
