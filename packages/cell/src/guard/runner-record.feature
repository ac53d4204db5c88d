Feature: what a guard tells of a run that was stopped before it was there

  Scenario: it is told as refused once a listing that was asked for later shows nothing of it
    Given a runner whose stop of a run was answered at 100
    When a listing that was asked for at 200 shows nothing of it
    Then the run is told as refused

  Scenario: a listing that was asked for before says nothing
    Given a runner whose stop of a run was answered at 100
    When a listing that was asked for at 50 shows nothing of it
    Then the run isn't told as refused
    And another listing is wanted at once

  Scenario: a stop that is repeated doesn't put that off
    Given a runner whose stop of a run was answered at 100
    And it was answered again at 300
    When a listing that was asked for at 200 shows nothing of it
    Then the run is told as refused
