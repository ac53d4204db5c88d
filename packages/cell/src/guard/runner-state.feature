Feature: what a guard knows of its runner and reports to the owner

  Scenario: a run that was stopped before it started is reported as refused once a later listing doesn't show it
    Given a runner that answered the stop of a run at 100
    When a listing requested at 200 doesn't show the run
    Then the run is reported as refused

  Scenario: a listing that was requested before the stop says nothing of the run
    Given a runner that answered the stop of a run at 100
    When a listing requested at 50 doesn't show the run
    Then the run isn't reported as refused
    And another listing is needed at once

  Scenario: a repeated stop doesn't delay the report
    Given a runner that answered the stop of a run at 100
    And it answered the stop again at 300
    When a listing requested at 200 doesn't show the run
    Then the run is reported as refused

  Scenario: a runner that stops answering: what ran there, and for how long
    Given a runner that lists a run at 100
    And another run started there at 900
    And a start was sent at 1000 and isn't answered
    When a call gets no answer at 1010, and again at 2000
    Then 3 runs were there, for 910, 110 and 10 ms

  Scenario: a runner that answers again has no outage
    Given a runner that lists a run at 100
    When a call gets no answer at 1010, and again at 2000
    And a listing requested at 2100 doesn't show the run
    Then it has no outage

  # A start that is repeated during an outage reaches the next incarnation with the same id. If that one crashed as well before its
  # first heartbeat, its runs were unknown, and a task that crashes its runners was started again and again.
  Scenario: a start accepted during an outage is there when the runner stops answering again
    Given a runner that lists a run at 100
    When a call gets no answer at 1010, and again at 1100
    And another run started there at 2000
    And a call gets no answer at 2010, which isn't the first
    And a call gets no answer at 3000, which isn't the first
    Then 2 runs were there, for 910 and 10 ms

  Scenario Outline: when the lease of a runner that is gone has lapsed
    Given a runner that lists a run at 100
    And it was given a lease until 3000
    When it stops answering and a start there <is what>
    Then at <at> its lease <has or hasn't> lapsed

    Examples:
      | is what           | at   | has or hasn't |
      | is being blocked  | 2900 | hasn't        |
      | is being blocked  | 6000 | has           |
      | may be sent again | 6000 | hasn't        |

  # The end of the run comes in a later listing. A run that was taken for refused or gone was started again after it had ended.
  Scenario Outline: a run that a listing without all ends doesn't show isn't reported as refused or gone
    Given a runner that <did what> at 100
    When a listing requested at 200 shows other ends only, and there are more
    Then the run is reported as in progress
    And the run isn't reported as refused
    When a listing requested at 300 shows the end of the run
    Then the run is reported as ended

    Examples:
      | did what                    |
      | lists a run                 |
      | answered the start of a run |
      | refused a run               |

  Scenario: a run that was stopped is reported as refused once a full listing doesn't show it
    Given a runner that answered the stop of a run at 100
    When a listing requested at 200 shows other ends only, and there are more
    Then the run isn't reported as refused
    When a listing requested at 300 doesn't show the run
    Then the run is reported as refused
