Feature: a call is answered before its deadline

  # A retry at a slow store slept past the deadline: a call of 650 ms was answered after 853 ms. The owner's entry waited for its own
  # write: calls of 650 and of 1000 ms were answered after 1602 ms.
  Scenario Outline: a submission of <budget> ms while the store <fault> is answered before that
    Given a cell of 2 entries and 1 worker
    And a store that is slow and then <fault>
    When jobs are submitted at every entry by callers that wait <budget> ms
    Then each was answered before that, with the time to return

    Examples:
      | budget | fault          |
      | 300    | refuses writes |
      | 650    | refuses writes |
      | 1000   | refuses writes |
      | 3000   | refuses writes |
      | 650    | is silent      |
      | 1000   | is silent      |
      | 3000   | is silent      |

  Scenario: an entry of the previous version can read what is forwarded to it, and this one what that one sends
    Then a refusal for lack of a store that was forwarded has only the fields of the previous version
    And a refusal with a reason, with another reason and with unknown fields can be read
