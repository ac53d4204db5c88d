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

  Scenario: a runner that stops answering: what ran there, and for how long
    Given a runner that lists a run at 100
    And another run started there at 900
    And a start was sent at 1000 and isn't answered
    When a call gets no answer at 1010, and again at 2000
    Then 3 runs were there, of 910, 110 and 10 ms

  Scenario: a runner that answers again hasn't stopped
    Given a runner that lists a run at 100
    When a call gets no answer at 1010, and again at 2000
    And a listing that was asked for at 2100 shows nothing of it
    Then it isn't silent

  # A start that is repeated while the runner is away reaches the life that comes under its id. Where that life crashed as well
  # before a heartbeat had told of it, nobody knew of its runs, and a task that crashes its runners was started again and again.
  Scenario: a start that a silent runner takes is there when it falls silent again
    Given a runner that lists a run at 100
    When a call gets no answer at 1010, and again at 1100
    And another run started there at 2000
    And a call gets no answer at 2010, which isn't the first
    And a call gets no answer at 3000, which isn't the first
    Then 2 runs were there, of 910 and 10 ms

  Scenario Outline: when the lease of a runner that is gone has lapsed
    Given a runner that lists a run at 100
    And it was handed a lease until 3000
    When it gives no answer any more and a start there <is what>
    Then at <at> its lease <has or hasn't> lapsed

    Examples:
      | is what           | at   | has or hasn't |
      | is being barred   | 2900 | hasn't        |
      | is being barred   | 6000 | has           |
      | may be sent again | 6000 | hasn't        |
