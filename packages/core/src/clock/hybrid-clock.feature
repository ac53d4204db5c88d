Feature: hybrid clock

  Scenario: stamps grow when the wall clock goes back
    Given a hybrid clock at wall time 1000
    When its wall clock goes back to 900
    Then its next stamp is later than the one before

  Scenario: a peer far in the future is not followed
    Given a hybrid clock at wall time 1000
    When it merges a stamp of wall time 900000000
    Then its next stamp stays near 1000
