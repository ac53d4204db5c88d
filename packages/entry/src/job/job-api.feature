Feature: caller API of jobs

  Scenario: a repeat of an idempotency key is the same job
    Given an owner with workers "w1"
    And the caller posts a "entry" job with key "k1"
    When the caller posts a "entry" job with key "k1"
    Then the submission answers 200
    And both submissions name the same job

  Scenario: a repeat through another entry is the same job
    Given an owner with workers "w1"
    And a second entry
    And the caller posts a "entry" job with key "k1"
    When the caller posts a "entry" job with key "k1" to the second entry
    Then the submission answers 200
    And both submissions name the same job

  Scenario: an idempotency key with another body is refused
    Given an owner with workers "w1"
    And the caller posts a "entry" job with key "k1"
    When the caller posts a "render" job with key "k1"
    Then the job API refuses with 422 "key-reused", ran "not-run"

  Scenario: what can never fit is refused at once
    Given an owner with workers "w1"
    When a caller submits a "entry" gang of 2 tasks with 8 accelerators
    Then the job API refuses with 422 "never-fits", ran "not-run"
    And the refusal tells the numbers "2 tasks of 8 accelerators"

  Scenario: unknown kinds and request kinds are no jobs
    Given an owner with workers "w1"
    When a caller submits a "nonsense" gang of 1 tasks with 1 accelerators
    Then the job API refuses with 400 "bad-input", ran "not-run"
    When a caller submits a "match" gang of 1 tasks with 1 accelerators
    Then the job API refuses with 400 "bad-input", ran "not-run"

  Scenario: a bad body names its field
    Given an owner with workers "w1"
    When a caller submits a "entry" gang of 0 tasks with 1 accelerators
    Then the job API refuses with 400 "bad-input", ran "not-run"
    And the refusal tells the numbers "shape.tasks"

  Scenario: a job during an outage is refused at once and not run
    Given an owner with workers "w1"
    And the table goes down for the owner
    When a caller submits a "entry" gang of 1 tasks with 1 accelerators
    Then the job API refuses with 503 "store-unavailable", ran "not-run"
    And the refusal says when to come back

  Scenario: a submission whose write can't be settled is said to be unknown
    Given an owner with workers "w1"
    And the owner loses the answer to its next write
    When a caller submits a "entry" gang of 1 tasks with 1 accelerators
    Then the job API refuses with 503 "store-unavailable", ran "unknown"
    And the job that it names runs

  Scenario: reading during an outage doesn't say that the job didn't run
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    And the table goes down for the owner
    When the caller asks for the submitted job
    Then the job API refuses with 503 "store-unavailable", ran "unknown"

  Scenario: an account's queue is bounded
    Given an owner without workers
    And the caller queues 50 jobs
    When a caller submits a "entry" gang of 1 tasks with 1 accelerators
    Then the job API refuses with 429 "quota-exceeded", ran "not-run"

  Scenario: other accounts' jobs can't be seen
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    When the account "malabar" asks for the submitted job
    Then the submission answers 404

  Scenario: waiting ends with the job
    Given an owner with workers "w1"
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the caller waits for the submitted job
    And the worker "w1" ends its tasks as "succeeded"
    Then the caller's wait ends with "succeeded" before its time

  Scenario: jobs are listed page by page
    Given an owner without workers
    And the caller queues 7 jobs
    When the caller lists its "queued" jobs by pages of 3
    Then the pages hold 3, 3, 1 jobs, each job once

  Scenario: a wave of cancellations is not run
    Given an owner without workers
    And the caller queues 50 jobs
    When the caller cancels all of them at once
    Then all of them are cancelled and not run

  Scenario: waiting at another entry ends with the job as well
    Given an owner with workers "w1"
    And a second entry
    And a caller submits a "entry" gang of 1 tasks with 1 accelerators
    And the submitted job gets "started"
    When the caller waits for the submitted job at the second entry
    And 20000 ms pass for the owner
    And the worker "w1" ends its tasks as "succeeded"
    Then the caller's wait ends with "succeeded" before its time
