Feature: moving a job between failure domains

  Scenario: a queued job moves and keeps what it is
    Given a moving job that is "queued" in "hall" after attempt 2
    When it moves to "annex" after attempt number 5 was tried
    Then its moved row says "annex", attempt 2 and last attempt 5

  Scenario: a job moved twice keeps the highest attempt number
    Given a moving job that is "queued" in "hall" after attempt 2
    When it moves to "annex" after attempt number 5 was tried
    And it moves to "depot" after attempt number 3 was tried
    Then its moved row says "depot", attempt 2 and last attempt 5

  Scenario: a started job is refused a move
    Given a moving job that is "started" in "hall" after attempt 1
    When it moves to "annex" after attempt number 1 was tried
    Then its move is refused

  Scenario: a job inside a claim is refused a move
    Given a moving job that is "queued" in "hall" after attempt 0
    And the moving job belongs to a claim
    When it moves to "annex" after attempt number 0 was tried
    Then its move is refused

  Scenario: a job whose cancellation was requested is refused a move
    Given a moving job that is "queued" in "hall" after attempt 0
    And the moving job's cancellation was requested
    When it moves to "annex" after attempt number 0 was tried
    Then its move is refused
