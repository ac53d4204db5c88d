Feature: reports of a process

  Scenario: a time line too large for one message is cut to its latest events
    Given a process report with 5000 events of 400 bytes
    When the process report of its time line is read
    Then the process report fits in one message and says what it left out
