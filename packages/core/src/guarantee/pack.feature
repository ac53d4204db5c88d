Feature: packing of guarantees

  Scenario: guarantees that fit with any worker lost are accepted
    Given packing 2 copies of 2 tasks of 8 accelerators in a rack on 9 workers
    Then packing says that they fit

  Scenario: guarantees that only fit with every worker there are refused
    Given packing 3 copies of 3 tasks of 8 accelerators in a rack on 9 workers
    Then packing says that they don't fit, and with which worker lost

  Scenario: guarantees beyond all capacity are refused with the numbers
    Given packing 4 copies of 3 tasks of 8 accelerators in a rack on 9 workers
    Then packing counts 1 copy left over of 96 accelerators asked for and 72 there

  Scenario: a pinned guarantee needs its own failure domain
    Given packing 1 copy of 1 task of 8 accelerators pinned to a failure domain without workers
    Then packing says that they don't fit
