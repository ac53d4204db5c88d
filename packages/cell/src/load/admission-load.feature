Feature: submissions under load are refused where they cannot be served in time

  A model of a cell with 20 workers, 4 entries and 10 accounts plays a minute at 0.8 times the capacity, then the load in question, in
  virtual time. Refused callers return when they are told to, up to four times. Without admission every job is accepted. The owner's
  order of placement is the same in both plays, so that admission can only lose jobs that it refuses wrongly.

  Scenario Outline: what callers get at <load> times the capacity by <whom>
    When 60 s of arrivals at <load> times the capacity by <whom> are played, with and without admission
    Then at least <useful> percent of the jobs accepted at once are served while they are of use
    And at least 94 percent as many jobs are served in time as without admission
    And at least 85 percent as many jobs are served while of use as without admission
    And each refusal says when to return, in 1 to 25 s
    And each accepted job ran once, and no other job ran
    And callers that are told to return together are at most 20 in a second of each play

    Examples:
      | load | whom              | useful |
      | 1.2  | one account       | 90     |
      | 2    | one account       | 85     |
      | 4    | one account       | 70     |
      | 1.2  | all accounts      | 90     |
      | 2    | all accounts      | 85     |
      | 4    | all accounts      | 85     |
      | 1.2  | large gangs alone | 90     |
      | 2    | large gangs alone | 85     |
      | 4    | large gangs alone | 85     |

  Scenario Outline: admission costs the others little while one account sends <load> times the capacity
    When 60 s of arrivals at <load> times the capacity by one account are played, with and without admission
    Then at least 95 percent as many jobs of the other accounts are served while of use as without admission

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

  Scenario: callers that return are served after an overload
    When 10 s of arrivals at 4 times the capacity by all accounts are played, with and without admission
    Then at least 95 percent of all jobs ran in the end, and 75 percent of each account's

  Scenario: jobs that return go before jobs like them that are submitted later
    When 60 s of arrivals at 2 times the capacity by all accounts are played, with and without admission
    Then the owner counts the age of each returned job from its first refusal
