Feature: fair share

  Scenario: heavier accounts may use more before they stand back
    Given fair share with weights "a:2,b:1"
    When account "a" uses 4 accelerators and account "b" uses 3
    Then fair share puts "a" before "b"

  Scenario: past use is remembered and fades
    Given fair share with weights "a:1,b:1"
    When account "a" uses 8 accelerators for an hour
    Then fair share puts "b" before "a"
    And after 20 hours fair share holds them nearly equal

  Scenario: the quota counts what is beyond guarantees
    Given fair share with weights "a:1"
    When account "a" has a quota of 4 and 8 accelerators within its guarantee
    Then fair share lets "a" start 4 accelerators but not 5

  Scenario: charges end as they started in any order
    Then fair share is back at zero after any starts and ends
