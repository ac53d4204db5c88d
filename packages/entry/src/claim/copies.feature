Feature: copies of guarantees over failure domains

  Scenario: failure domains that hold all copies together find none broken
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers "w2"
    And the guarantee "studio" has 2 copies
    When 60000 ms pass for the owner
    Then no guarantee was found broken by the owner

  Scenario: claims go to the failure domains that keep a copy
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers "w2"
    And the guarantee "studio" has 2 copies
    When 60000 ms pass for the owner
    And 2 claims of "studio" are made through the entry that owns neither
    Then one claim of "studio" is held in each of "hall" and "annex"

  Scenario: a claim goes where it can be held, when the failure domain of its copy is lost
    Given failure domain "hall" with workers "w1" and failure domain "annex" with workers "w2"
    When 60000 ms pass for the owner
    And the workers "w2" of the copy are lost
    And 1 claim of "studio" is made through the entry that owns neither
    Then the claim of "studio" is held by the worker "w1"
