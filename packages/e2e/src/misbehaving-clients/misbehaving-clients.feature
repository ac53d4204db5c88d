Feature: clients that exceed all limits end no process and keep no ordinary caller from an answer

  Each scenario plays a few clients against a machine of little memory and few descriptors. The clients keep their connections open
  and read no answer. Clients that sent such requests ended a process, which ran out of memory.

  Scenario Outline: <clients> clients send <payload> to <listener> <path>
    Given an entry, and a guard with its runner, on machines of 200 MB and 400 descriptors
    When <clients> clients send <payload> to <path> of <listener>
    Then the process that serves <listener> has stayed within its machine
    And <listener> answers an ordinary request
    And an ordinary job is accepted and completes

    Examples: requests that aren't finished
      | listener    | path           | clients | payload                           |
      | the job API | /proofs/1      | 20      | POST bodies in 1-byte chunks      |
      | the job API | /proofs/1      | 180     | POST bodies in 64 KiB chunks      |
      | the job API | /proofs/1      | 180     | POST bodies with a length         |
      | the job API | /proofs/1      | 20      | PUT bodies in 1-byte chunks       |
      | the job API | /proofs/1      | 20      | DELETE bodies in 1-byte chunks    |
      | the job API | /proofs/1      | 20      | GET bodies in 1-byte chunks       |
      | the job API | /proofs/1      | 180     | unfinished headers of tiny fields |
      | readiness   | /-/ready       | 20      | POST bodies in 1-byte chunks      |
      | metrics     | /metrics       | 20      | POST bodies in 1-byte chunks      |
      | heartbeats  | /-/instances/x | 20      | PUT bodies in 1-byte chunks       |
      | heartbeats  | /-/instances/x | 180     | PUT bodies in 64 KiB chunks       |
      | links       | /              | 20      | POST bodies in 1-byte chunks      |
      | links       | /              | 60      | fragments of a WebSocket message  |

    Examples: bodies that cost more than their length
      | listener    | path                     | clients | payload                       |
      | the job API | /proofs/0000000000000009 | 1       | a job of invalid steps        |
      | heartbeats  | /-/instances/x           | 1       | a heartbeat of invalid labels |

    Examples: requests sent ahead
      | listener    | path           | clients | payload                         |
      | the job API | /proofs/1      | 100     | GET requests ahead              |
      | the job API | /-/ready       | 100     | GET requests ahead              |
      | the job API | /proofs/1      | 100     | GET requests ahead without Host |
      | the job API | /proofs/1      | 100     | HTTP/1.0 GET requests ahead     |
      | the job API | /proofs/1      | 100     | POST requests ahead             |
      | readiness   | /-/ready       | 100     | GET requests ahead              |
      | readiness   | /-/ready       | 100     | GET requests ahead without Host |
      | metrics     | /metrics       | 100     | GET requests ahead              |
      | heartbeats  | /-/instances/x | 100     | GET requests ahead              |
      | links       | /              | 100     | GET requests ahead              |

    Examples: connections without a request
      | listener    | path | clients | payload |
      | the job API | /    | 600     | nothing |
      | readiness   | /    | 600     | nothing |
      | metrics     | /    | 600     | nothing |
      | heartbeats  | /    | 600     | nothing |
      | links       | /    | 600     | nothing |

  Scenario Outline: <clients> clients send <payload> to <listener> <path> of a machine with many descriptors
    Given an entry, and a guard with its runner, on machines of 200 MB and 4100 descriptors
    When <clients> clients send <payload> to <path> of <listener>
    Then the process that serves <listener> has stayed within its machine
    And <listener> answers an ordinary request
    And an ordinary job is accepted and completes

    Examples: the descriptors last for more connections than the memory
      | listener    | path           | clients | payload                   |
      | the job API | /proofs/1      | 1900    | nothing                   |
      | the job API | /proofs/1      | 1900    | POST bodies of one byte   |
      | the job API | /proofs/1      | 1900    | POST bodies with a length |
      | heartbeats  | /-/instances/x | 240     | PUT bodies of one byte    |
