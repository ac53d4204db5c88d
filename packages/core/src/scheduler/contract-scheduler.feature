Feature: contract scheduler

  Scenario: accelerators are never shared and gangs are whole
    Given domain runs of any jobs, claims, losses and cancellations
    Then domain placements never share an accelerator or split a gang

  Scenario: a claim is held whatever runs
    Given domain runs of any jobs and claims without losses
    Then domain claims are held as soon as their victims have left

  Scenario: an account inside its guarantee is not evicted
    Given domain runs in which film stays inside its guarantee
    Then domain evictions never touch film

  Scenario: a claim evicts the cheaper job
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    And the domain's first render has run for 60000 ms more than a checkpoint takes
    When the domain's film claims its half
    Then the domain evicts 1 job for the claim
    And the domain holds the claim once the victim has left

  Scenario: cleared room is kept from others
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    When the domain's film claims its half
    And the domain gets 20 previews of guests of 1 accelerator
    Then the domain holds the claim once the victim has left

  Scenario: an urgent job gets a place that only a reservation keeps free
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    And a gang of 16 waits in the domain
    When the domain's last render ends
    And the domain gets 9 proofs of guests of 1 accelerator
    Then the domain runs 9 proofs after 10000 ms

  Scenario: long small jobs don't delay a large gang
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    And a gang of 16 waits in the domain
    When previews of 3600000 ms keep coming while the domain's renders end
    Then the domain runs the gang

  Scenario: what can never fit is refused with the reason
    Given a domain of 3 workers
    When the domain gets a gang of 4 tasks of 8 accelerators in a rack
    Then the domain refuses it as never-fits

  Scenario: a lost worker breaks a guarantee
    Given a domain of 3 workers
    When the domain loses 2 workers
    Then the domain says that block is broken

  Scenario: a job within a claim runs on its accelerators
    Given a domain of 6 workers
    When the domain's deeds claims its block
    And a job of deeds is submitted within the domain's claim
    Then the domain runs it on the claim's accelerators

  Scenario: a worker that fails everything is quarantined
    Given a domain of 6 workers
    When every proof fails on the domain's w0 and succeeds elsewhere
    Then the domain quarantines w0 alone

  Scenario: a worker that comes back is empty
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    When the domain's w0 is lost and comes back before its job's end is told
    Then the domain counts 8 accelerators free before and after

  Scenario: a job that fits isn't hidden behind many that don't
    Given a domain of 3 workers
    And domain jobs of guests fill it with renders of 8 accelerators
    When the domain gets 600 renders of guests of 8 accelerators
    And the domain gets an entry of film without accelerators
    Then the domain runs that entry

  Scenario: an evicted job that can't be checkpointed gets firm room
    Given a domain of 3 workers
    When a preview of guests was evicted twice in the domain while deeds had claimed nothing
    And the domain's deeds claims its block
    Then the domain doesn't evict that preview again

  Scenario: a job whose claim is released is refused
    Given a domain of 6 workers
    When the domain's deeds claims its block
    And a job of deeds is submitted within the domain's claim
    And another job of deeds is submitted within the domain's claim
    And the domain's claim is released
    Then the domain refuses it as not-found
