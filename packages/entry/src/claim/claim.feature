Feature: claims of guaranteed shapes

  Scenario: a claim on free workers is held
    Given an owner with workers "w1, w2"
    When the account "tuul" claims "studio"
    Then the submission answers 202
    And the claim gets "held"
    And the claim holds 8 accelerators on the workers

  Scenario: a claim gets its shape back from another account's jobs
    Given an owner with workers "w1, w2"
    And the account "malabar" fills both workers with checkpointable jobs
    When the account "tuul" claims "studio"
    Then the claim gets "held"
    And within the guaranteed time
    And every evicted job was queued again with its checkpoint

  Scenario: no more claims than were guaranteed
    Given an owner with workers "w1, w2"
    And the account "tuul" claims "studio"
    When the account "tuul" claims "studio"
    Then the submission answers 409

  Scenario: a released claim can be claimed again at once
    Given an owner with workers "w1, w2"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When the claim is released
    And the account "tuul" claims "studio"
    Then the submission answers 202
    And the claim gets "held"

  Scenario: nothing is held for a released claim
    Given an owner with workers "w1, w2"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When the claim is released
    Then no reservation is left on "w1, w2"

  Scenario: repeating a claim's key claims once
    Given an owner with workers "w1, w2"
    And the account "tuul" claims "studio" with key "again"
    When the account "tuul" claims "studio" with key "again"
    Then the submission answers 200

  Scenario: another account's guarantee can't be claimed
    Given an owner with workers "w1, w2"
    When the account "malabar" claims "studio"
    Then the submission answers 404

  Scenario: a held claim is kept when the owner changes
    Given an owner with workers "w1, w2"
    And a second entry
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When the owner dies
    Then the second entry owns the failure domain
    And 60000 ms pass for the owner
    And the claim holds 8 accelerators on the workers

  Scenario: a claim whose worker is lost is held elsewhere
    Given an owner with workers "w1, w2, w3"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When a worker that holds the claim falls silent for good
    Then the claim is held by the workers that are left

  Scenario: a job runs inside its claim
    Given an owner with workers "w1"
    And the account "tuul" claims "studio"
    And the claim gets "held"
    When a job is submitted for 4 accelerators of the claim
    Then the submitted job gets "started"
    And the submitted job runs inside the claim
