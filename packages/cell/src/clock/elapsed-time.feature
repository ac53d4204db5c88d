Feature: elapsed time by clocks that disagree

  Scenario Outline: the age of a confirmation
    When <monotonic> s pass on the monotonic clock, <wall> s on the wall clock and <uptime> s of uptime
    Then <age> s have passed

    Examples:
      | monotonic | wall | uptime | age | why                                                |
      | 1         | 1    | 1      | 1   | all agree                                          |
      | 1         | 4    | 4      | 4   | the VM was suspended for 3 s                       |
      | 1         | -2   | 1      | 1   | the wall clock was set back                        |
      | 1         | -2   | 4      | 4   | it was set back while the VM was suspended for 3 s |
      | 1         | 1    | 4      | 1   | the uptime is that of a host that runs faster      |
