Feature: copies of guarantees by failure domain

  Scenario: every unpinned copy is kept in one failure domain only
    Given copies are assigned of a guarantee of 4 copies of 8 accelerators over "hall:2, annex:3"
    Then 4 copies are assigned in all, at most 2 to "hall" and at most 3 to "annex"

  Scenario: the order in which workers are known changes nothing
    Given copies are assigned of a guarantee of 4 copies of 8 accelerators over "hall:2, annex:3"
    Then the same copies are assigned whatever the order of the workers

  Scenario: copies that fit nowhere are told of in one failure domain
    Given copies are assigned of a guarantee of 7 copies of 8 accelerators over "hall:2, annex:3"
    Then 7 copies are assigned in all, at most 2 to "hall" and at most 5 to "annex"

  Scenario: a failure domain keeps no more homes than its copies
    Given a scheduler with 2 workers and a guarantee of 4 copies of 8 accelerators anywhere
    When it is told that 2 of the copies are its own
    Then no guarantee is found broken there
    When it is told that 3 of the copies are its own
    Then the guarantee is found broken there

  Scenario: a claim may be held where none of the copies is kept
    Given a scheduler with 2 workers and a guarantee of 4 copies of 8 accelerators anywhere
    When it is told that 0 of the copies are its own
    And the guarantee is claimed there
    Then the claim is held there
