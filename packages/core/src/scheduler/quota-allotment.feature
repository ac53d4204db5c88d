Feature: quota allotments

  Scenario: allotments never exceed the quota, whoever writes first
    Then allotments hold the quota for any race of failure domains

  Scenario: a split gives out the whole quota
    Then any split of a quota sums to it

  Scenario: a lowered quota is given back as jobs end
    Given allotments of 10 for "east" and 10 for "west" of a quota of 20
    When the quota is lowered to 8
    And "east" wants 10 with 3 in use and "west" wants 10 with 9 in use
    Then the allotments are 3 for "east" and 9 for "west"
    When "east" wants 10 with 3 in use and "west" wants 10 with 0 in use
    Then the allotments are 3 for "east" and 5 for "west"
