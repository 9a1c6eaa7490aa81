Feature: Overload, across entries, agents and engines on a simulated clock

  Guards against wrong decisions under load: shedding a request before a less
  important one, wasting engine work on requests that are cancelled, running a
  call twice, or refusing requests because one engine is slow, down or crashes.

  Scenario Outline: A burst is shed by importance: seed <seed>, <entries> entries, queues of <room>, <kind> engines
    Given a cluster of <entries> entries with queues of <room> requests
    And 3 <kind> engines of different speeds
    When a burst of <burst> requests in three tiers is added to a steady load with seed <seed>
    Then the audit of the cluster finds no breach
    And every request has one outcome, and each refusal says when to retry
    And at least <shed> requests were shed, and more of bronze than of gold
    And at most <waste>% of the prefilled tokens were wasted

    Examples:
      | entries | room | kind | burst | seed | shed | waste |
      | 1 | 20 | resumable | 120 | 1 | 20 | 9 |
      | 2 | 20 | resumable | 160 | 2 | 30 | 9 |
      | 2 | 10 | steady | 160 | 3 | 30 | 9 |
      | 3 | 5 | resumable | 200 | 4 | 60 | 9 |
      | 2 | 1000 | resumable | 200 | 5 | 0 | 9 |

  Scenario Outline: Gold arrives while bronze runs: <case>
    Given a cluster of 2 entries with queues of <room> requests
    And 1 <kind> engine that runs 1 at a time
    When a bronze request for 200 tokens is sent to entry-1
    And 500 ms later <gold> gold requests for 20 tokens with a timeout of <due> ms are sent to entry-2
    Then <complete> gold requests complete, <shed> are shed and the bronze request ends as complete
    And the bronze request was suspended <times> times on its engine and ran once
    And the audit of the cluster finds no breach

    Examples:
      | case | room | kind | gold | due | complete | shed | times |
      | enough time: bronze completes first | 9 | resumable | 1 | 20000 | 1 | 0 | 0 |
      | the deadline is near: bronze is suspended | 9 | resumable | 1 | 1000 | 1 | 0 | 1 |
      | the queue is over its limit: bronze is suspended | 1 | resumable | 2 | 20000 | 2 | 0 | 1 |
      | too many gold requests: some are shed | 1 | resumable | 4 | 20000 | 2 | 2 | 1 |
      | bronze can't be suspended | 1 | steady | 2 | 20000 | 2 | 0 | 0 |

  Scenario Outline: A request that can't complete in time is refused at once: <case>
    Given a cluster of 2 entries with queues of 100 requests
    And 3 resumable engines of different speeds
    When a prompt of <words> words for <output> tokens with a timeout of 2000 ms is sent to entry-1
    Then it is refused as "deadline_unreachable" within <ms> ms and nothing ran

    Examples:
      | case | words | output | ms |
      | too long a prompt | 60000 | 1 | 10 |
      | too long an answer | 10 | 900 | 10 |

  Scenario Outline: A request whose caller no longer waits is cancelled: <case>
    Given a cluster of 1 entries with queues of 100 requests
    And 1 resumable engine that runs 1 at a time
    When a bronze request for 200 tokens is sent to entry-1
    And the caller <leaves> after <ms> ms
    Then the engine ran <runs> requests and none is running 20 ms later

    Examples:
      | case | leaves | ms | runs |
      | caller disconnects before the dispatch | disconnects | 1 | 0 |
      | caller disconnects during the prefill | disconnects | 15 | 1 |
      | caller disconnects during the stream | disconnects | 2000 | 1 |
      | the deadline passes | waits on a slow engine | 8500 | 1 |

  Scenario Outline: Requests with a common prefix run where it is cached: <case>
    Given a cluster of 2 entries with queues of 100 requests
    And 3 resumable engines of different speeds
    When prompts with a common prefix of 3000 words are sent <times> times, one every <ms> ms
    Then all complete and at most <prefilled> words were prefilled

    Examples:
      | case | times | ms | prefilled |
      | one after another | 6 | 3000 | 4000 |
      | requests don't wait for a busy engine | 6 | 20 | 19000 |

  Scenario: A team stays within its limit of running requests
    Given a cluster of 1 entries with queues of 100 requests
    And 3 resumable engines of different speeds
    And team "brokers" may run 2 requests at once
    When 8 requests are sent by "brokers" and 8 by "roasters"
    Then never more than 2 requests of "brokers" run at once and all 16 complete

  Scenario Outline: A request that crashes engines is identified and refused: <engines> engines
    Given a cluster of 2 entries with queues of 100 requests
    And <engines> resumable engines of different speeds
    When a request that crashes engines is sent repeatedly for 20 s during a steady load
    Then the engines crashed twice and it is refused as "poisonous" at both entries
    And all other requests complete, except those on a crashed engine
    And the audit of the cluster finds no breach

    Examples:
      | engines |
      | 2 |
      | 3 |

  Scenario: No request is refused while one engine accepts no connections
    Given a cluster of 1 entries with queues of 100 requests
    And 3 resumable engines of different speeds
    When the first engine is down for 5 s and 30 requests are sent each second for 8 s
    Then all complete and no request ran twice

  Scenario: An engine is used again after a slow period
    Given a cluster of 1 entries with queues of 100 requests
    And 1 resumable engine that runs 4 at a time
    When the engine is 30 times slower for 10 s under load and then recovers
    Then requests sent 5 s later complete

  Scenario Outline: Calls of a plain service: <case>
    Given a cluster of 1 entries with queues of 100 requests
    And 2 plain upstreams of which the first fails <failing> calls
    When 30 <kind> calls are made
    Then <complete> calls complete, <failed> fail, none is refused and <runs> runs were made

    Examples:
      | case | failing | kind | complete | failed | runs |
      | no upstream fails | 0 | idempotent | 30 | 0 | 30 |
      | retried on the other upstream | 3 | idempotent | 30 | 0 | 33 |
      | not retried | 3 | non-idempotent | 27 | 3 | 30 |
