@settings-file
Feature: Settings files of the daemon

  Scenario: example settings of both roles load
    When the daemon's example settings "entry.jsonc" are loaded
    Then the daemon settings are of an entry
    When the daemon's example settings "guard.jsonc" are loaded
    Then the daemon settings are of a guard

  Scenario: an unknown field is refused
    Given a copy of the daemon's example settings "entry.jsonc" with "drainMs" renamed "drainMS"
    When that copy is loaded as daemon settings
    Then the daemon settings are refused at path "drainMS"
    And the daemon settings' finding expects "no field of this name here" with remedy "Remove it, or correct its spelling."

  Scenario: a value of the wrong type is refused
    Given a copy of the daemon's example settings "guard.jsonc" with "drainMs" set to '"soon"'
    When that copy is loaded as daemon settings
    Then the daemon settings are refused at path "drainMs"
    And the daemon settings' finding expects "a number" with remedy "Correct the value."

  Scenario: a value beyond its bound is refused
    Given a copy of the daemon's example settings "guard.jsonc" with "clockMargin" set to '2'
    When that copy is loaded as daemon settings
    Then the daemon settings are refused at path "clockMargin"
    And the daemon settings' finding expects "number to be <=1" with remedy "Lower it to the bound."

  Scenario: a missing file says so
    When daemon settings are loaded from a file that isn't there
    Then the daemon settings' problem tells the file, that it can't be read, and to use "--settings"

  Scenario: the daemon's check tells good from bad
    Given a copy of the daemon's example settings "entry.jsonc" with "role" set to '"entrance"'
    When zincspand checks the example settings "entry.jsonc"
    Then zincspand exits 0 and prints 'Settings of entry "entry-1" are good.'
    When zincspand checks that copy
    Then zincspand exits 2 and prints 'expected "entry" or "guard"'
