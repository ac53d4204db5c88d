Feature: counts of queued jobs

  Scenario: a caller at its quota is told the rate at which its jobs have been starting
    Given 10 jobs of an account that may queue 10 wait in the table
    When 1 of them leaves and 1 comes every 10 s for 600 s, and each time its count is asked for
    Then the account is told to come back in 9 s to 11 s

  Scenario: a caller whose jobs don't start is told to come back ever later
    Given 10 jobs of an account that may queue 10 wait in the table
    When none leaves for 600 s
    Then the account is told to come back in 500 s to 700 s

  Scenario: a caller at its quota of whom nothing is known yet is told to ask again soon
    Given 10 jobs of an account that may queue 10 wait in the table
    Then the account is told to come back in 5 s to 5 s

  Scenario: a caller below its quota isn't refused
    Given 9 jobs of an account that may queue 10 wait in the table
    Then the account isn't told to come back
