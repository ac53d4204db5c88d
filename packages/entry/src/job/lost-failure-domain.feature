Feature: jobs and a lost failure domain

  Scenario: a job sent through another entry avoids a failure domain whose workers are lost
    Given failure domain "hall" with workers "w1, w2" and failure domain "annex" with workers "w3, w4"
    And 4 jobs were sent through the entry that owns neither
    When the workers "w1, w2" of a failure domain are lost
    And 12 jobs are sent through the entry that owns neither
    Then the latest 12 jobs sent all lie in "annex"

  Scenario: a job sent through another entry goes where accelerators are free
    Given failure domain "hall" with workers "w1, w2, w5" and failure domain "annex" with workers "w3, w4"
    And jobs fill all of "hall"
    When 6 jobs are sent through the entry that owns neither
    Then the latest 6 jobs sent all lie in "annex"

  Scenario: jobs sent in one moment are spread by what the failure domains have free
    Given failure domain "hall" with workers "w1, w2" and failure domain "annex" with workers "w3, w4"
    When 32 jobs are sent through the entry that owns neither
    Then of the latest 32 jobs sent 16 lie in "hall"

  Scenario: a shape that fitted a worker nobody asked about is not refused for good
    Given failure domain "hall" with workers "w1, w2" and failure domain "annex" with workers ""
    When the workers "w2" of a failure domain are lost
    And a job of 2 tasks of 8 accelerators is sent through the entry that owns neither
    Then the submission answers 202

  Scenario: a queued job leaves a failure domain whose workers are lost
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers ""
    And a job of 1 task of 8 accelerators runs in "hall" and another one waits there
    When the workers "w1" of a failure domain are lost
    And worker "w3" joins failure domain "annex"
    Then the waiting job is moved to "annex" and started there
    And nothing is left beside the moved job's row in "hall"

  Scenario: a queued job leaves a failure domain where it would wait far longer
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers ""
    And a job of 1 task of 8 accelerators runs in "hall" and another one waits there
    When worker "w3" joins failure domain "annex"
    Then the waiting job is moved to "annex" and started there

  Scenario: a queued job that its claim binds stays
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers ""
    And a claim is held in "hall" and a job fills it while another one waits inside it
    When worker "w3" joins failure domain "annex"
    And 120000 ms pass for the owner
    Then the waiting job still lies in "hall"

  Scenario: a job whose move was written without an answer is moved once
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers ""
    And a job of 1 task of 8 accelerators runs in "hall" and another one waits there
    And the owner loses the answer to its next write
    When worker "w3" joins failure domain "annex"
    Then the waiting job is moved to "annex" and started there
    And the waiting job was started 1 time

  Scenario: a job moved back is given attempt numbers that its guards haven't seen
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers ""
    And a job of 1 task of 8 accelerators runs in "hall" and another one waits there
    And the waiting job was tried in vain in "hall"
    When worker "w3" joins failure domain "annex"
    Then the waiting job is moved to "annex" and started there
    And its attempt there has a number above the one tried in vain
