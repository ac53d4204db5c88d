Feature: jobs that a quota holds back

  Scenario: a quota holds a job back however long it has waited
    Given a scheduler whose account "guests" may use 8 accelerators
    When "guests" queues 2 waiting jobs of 8 accelerators and 4 hours pass
    Then 1 job of "guests" runs, and nothing was evicted

  Scenario: nobody is evicted for an urgent job that its quota holds back
    Given a scheduler whose account "guests" may use 8 accelerators
    And jobs of "deeds" fill every other worker
    When "guests" queues 2 urgent jobs of 8 accelerators and 4 hours pass
    Then 1 job of "guests" runs, and nothing was evicted

  Scenario: an allotment bounds what one failure domain may use of a quota
    Given a scheduler whose account "guests" may use 32 accelerators
    And 8 accelerators are allotted to "guests"
    When "guests" queues 2 waiting jobs of 8 accelerators and 4 hours pass
    Then 1 job of "guests" runs, and nothing was evicted
    When 16 accelerators are allotted to "guests"
    Then 2 jobs of "guests" run, and nothing was evicted
