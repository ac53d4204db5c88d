Feature: worker health

  Scenario: a worker that fails what others finish is quarantined
    Given worker health over 10 workers
    When worker "w0" fails 2 jobs that others then finish
    Then worker health has quarantined none
    When worker "w0" fails 1 jobs that others then finish
    Then worker health has quarantined "w0"

  Scenario: failures of jobs that are never retried count once others finish the kind
    Given worker health over 10 workers
    When worker "w0" fails 4 jobs that nobody retries
    Then worker health has quarantined none
    When worker "w1" finishes a job of that kind
    Then worker health has quarantined "w0"

  Scenario: a poison job quarantines nobody
    Given worker health over 10 workers
    When others finish 20 jobs of that kind
    And one job fails on every worker 3 times
    Then worker health has quarantined none
    And that job is suspect

  Scenario: poison jobs that are never retried quarantine nobody
    Given worker health over 10 workers
    When others finish 20 jobs of that kind
    And 60 jobs that nobody retries fail on workers in turn
    Then worker health has quarantined none

  Scenario: failures forgiven by a success don't count again
    Given worker health over 10 workers
    When worker "w0" fails and finishes jobs in turn 30 times
    Then worker health has quarantined none

  Scenario: probation is slow and a relapse doubles the quarantine
    Given worker health over 10 workers
    When worker "w0" fails 3 jobs that others then finish
    And its quarantine runs out
    Then worker health gives "w0" one small idempotent task at a time
    When its probation task fails
    Then its quarantine is twice as long

  Scenario: a relapse by a job that fails elsewhere too is taken back
    Given worker health over 10 workers
    When worker "w0" fails 3 jobs that others then finish
    And its quarantine runs out
    And its probation task fails
    And its probation task fails on another worker
    Then worker health has lifted the quarantine of "w0"

  Scenario: at most a share of the workers is quarantined at once
    Given worker health over 10 workers
    When workers "w0,w1,w2,w3" each fail 5 jobs that others then finish
    Then worker health has quarantined 2 workers
