Feature: model of the core protocol

  Scenario: every invariant of the protocol holds
    When the model is explored within the test bounds
    Then the model breaks no invariant

  Scenario: every rule of the protocol is needed
    When the model is explored with each rule removed
    Then the model breaks an invariant every time
