Feature: look-ups of jobs at an entry

  # The read of a cached job doesn't include its submission. A job that other look-ups evicted during it counted as absent, and callers
  # of many jobs were told that theirs don't exist.
  Scenario Outline: a job that is evicted from the cache during its look-up is found
    Given an entry that caches 2 jobs, and 4 jobs in the store of which one has been looked up
    When that job is looked up, and <others> others while its read is under way
    Then all look-ups find their jobs

    Examples:
      | others |
      | 2      |
      | 3      |

  Scenario: progress that was stored during the look-up of an evicted job is reported
    Given an entry that caches 2 jobs, and 4 jobs in the store of which one has been looked up
    When that job ends, and is looked up with 3 others while its read is under way
    Then it is reported as completed
