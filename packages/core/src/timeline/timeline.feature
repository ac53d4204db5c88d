Feature: time line

  Scenario: a job is found by its id
    Given a time line with events of jobs "jobs/film-crews/a1" and "jobs/film-crews/b2"
    When the time line is read for job "a1"
    Then only events of "jobs/film-crews/a1" are read

  Scenario: a full ring drops the oldest events and counts them
    Given a time line of 100 events that took 1000
    Then the time line has kept its latest event and counted what it dropped

  Scenario: rings of several processes merge in causal order
    Given a time line whose process told another, with its clock an hour behind
    Then the merged time line has the cause before the effect
