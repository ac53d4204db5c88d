Feature: guards that lose contact with the owner

  @cut-links
  Scenario: a gang with a member that is cut off from every entry is stopped, then runs anew
    Given a deployment of 2 entries and 3 workers whose guards stop without contact after 2000 ms
    When crews submits to entry-1:
      | name | kind   | tasks | accelerators | runMs |
      | reel | render | 2     | 8            | 20000 |
    And job "reel" runs
    And the guard of a member of job "reel" is cut off from every entry
    Then the member of job "reel" that was cut off is stopped
    And job "reel" runs anew without the worker that was cut off
    When job "reel" is cancelled
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | cancelled | ran | 4      |
    And every ledger agrees with every answer

  @cut-links
  Scenario: a gang with a member that is cut off from the owner alone is stopped, then runs anew
    Given a deployment of 2 entries and 3 workers whose guards stop without contact after 2000 ms
    When crews submits to entry-1:
      | name | kind   | tasks | accelerators | runMs |
      | reel | render | 2     | 8            | 20000 |
    And job "reel" runs
    And the guard of a member of job "reel" is cut off from the owner
    Then the member of job "reel" that was cut off is stopped
    And job "reel" runs anew without the worker that was cut off
    When job "reel" is cancelled
    Then these jobs end:
      | name | state     | ran | starts |
      | reel | cancelled | ran | 4      |
    And every ledger agrees with every answer
