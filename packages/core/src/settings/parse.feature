Feature: reading files written by operators

  Scenario: a file with comments is read and defaults filled in
    Given a settings text '{ "name": "a", /* why */ "size": 3, }'
    When the settings text is read
    Then the settings value is '{"name":"a","size":3,"mode":"slow"}'

  Scenario Outline: a wrong file is refused with place, expected and remedy
    Given a settings text '<text>'
    When the settings text is read
    Then the settings finding is '<finding>'

    Examples:
      | text                                  | finding                                                                                              |
      | { "size": 3 }                         | line 1, name: expected a string. Add "name".                                                         |
      | { "name": "a",\n"size": 99 }          | line 2, size: expected number to be <=9. Lower it to the bound.                                      |
      | { "name": "a", "size": 3,\n"sise": 1} | line 2, sise: expected no field of this name here. Remove it, or correct its spelling.               |
      | { "name": "a", "size": 3,\n"size": 4} | line 2, size: expected a field only once. Remove one of the two.                                     |
      | { "name": "a", "size": 3, "mode": 1}  | line 1, mode: expected "slow" or "fast". Correct the value.                                          |
      | { "name": "a"\n "size": 3 }           | line 2, (syntax): expected JSON with comments, not CommaExpected. Correct the syntax at this line or just before it. |
