Feature: changes of a job row

  Scenario Outline: what the rules of truthfulness allow
    Given a job row that is "<state>" with <attempts> attempts started
    When the row is asked to "<change>"
    Then the row change answers "<answer>"

    Examples:
      | state     | attempts | change                      | answer              |
      | queued    | 0        | start attempt 1             | started             |
      | queued    | 1        | start attempt 1             | refused             |
      | queued    | 0        | start half its gang         | refused             |
      | queued    | 0        | withdraw, released          | cancelled, not-run  |
      | queued    | 0        | withdraw, not released      | refused             |
      | queued    | 1        | withdraw, released          | cancelled, ran      |
      | barred    | 1        | withdraw, released          | cancelled, not-run  |
      | doubtful  | 1        | withdraw, released          | cancelled, unknown  |
      | started   | 1        | withdraw, released          | refused             |
      | started   | 1        | requeue, idempotent         | queued              |
      | started   | 1        | requeue, not idempotent     | refused             |
      | started   | 1        | requeue from its checkpoint | queued              |
      | started   | 1        | requeue before it has ended | refused             |
      | started   | 1        | finish unknown              | failed, unknown     |
      | started   | 1        | finish not run              | failed, unknown     |
      | first     | 1        | finish not run              | failed, not-run     |
      | queued    | 0        | finish not run              | refused             |
      | queued    | 0        | finish unknown              | refused             |
      | succeeded | 1        | request-cancel              | refused             |
      | started   | 1        | request-cancel              | started             |
      | cancelled | 0        | start attempt 1             | refused             |
      | wanted    | 0        | start attempt 1             | refused             |

  Scenario Outline: what becomes of a job after its attempt
    Given a "<kind>" job whose attempt ended as "<end>"
    Then its row change is "<change>"

    Examples:
      | kind                      | end                          | change           |
      | non-idempotent            | released                     | none             |
      | non-idempotent            | succeeded                    | finish succeeded |
      | non-idempotent            | lost                         | finish failed    |
      | non-idempotent            | checkpointed                 | requeue          |
      | non-idempotent            | failed with a checkpoint     | finish failed    |
      | idempotent                | lost                         | requeue          |
      | idempotent                | failed                       | finish failed    |
      | idempotent with retries   | failed                       | requeue          |
      | idempotent, to be cancelled | lost                       | finish cancelled |
      | idempotent, to be cancelled | released                   | withdraw cancelled |

  Scenario Outline: whether a gang could ever fit
    Given workers of 8 accelerators in racks at positions "<racks>"
    Then a gang of <tasks> tasks of <accelerators> accelerators, adjacent by "<adjacency>", <answer>

    Examples:
      | racks      | tasks | accelerators | adjacency          | answer    |
      | 1, 1       | 2     | 8            | rack               | fits      |
      | 1, 2       | 2     | 8            | rack               | never fits |
      | 1, 2       | 2     | 8            | neighbouring-racks | fits      |
      | 1, 3       | 2     | 8            | neighbouring-racks | never fits |
      | 1, 3       | 2     | 8            | failure-domain     | fits      |
      | 1, 1       | 2     | 4            | worker             | fits      |
      | 1, 1       | 3     | 4            | worker             | never fits |
      | 1          | 1     | 9            | failure-domain     | never fits |

  # A job that takes its workers down is lost with them wherever it is started; only attempts that failed were counted.
  Scenario: a job whose attempts are lost one after the other is not started without end
    Given an idempotent job that is started again whenever its attempt is lost
    Then it has failed as "lost" after 5 attempts

  Scenario: an attempt that left a new checkpoint starts the count anew
    Given an idempotent job that is started again whenever its attempt is lost, each time with a new checkpoint
    Then it is queued after 9 attempts
