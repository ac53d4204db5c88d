Feature: model of the core protocol

  Scenario: every invariant of the protocol holds
    When the model is explored within the test bounds
    Then the model breaks no invariant

  Scenario: every rule of the protocol is needed
    When the model is explored with each rule removed
    Then the model breaks an invariant every time

  Scenario: the real code follows the protocol
    When the model's sequences are replayed on the real code
    Then the model and the real code never differ
