Feature: Too much to do, across entries, agents and engines on a driven clock

  Scenario Outline: A burst keeps every promise: seed <seed>, <entries> entries, room for <room>, <kind> engines
    Given a cluster of <entries> entries with room for <room> waiting
    And 3 <kind> engines of unlike speed
    When a burst of <burst> in three tiers hits a steady load with seed <seed>
    Then the audit of the cluster finds no breach
    And every caller was told one outcome, and each refusal when to come back
    And at least <shed> were shed, and more of bronze than of gold
    And at most <waste>% of the prefilled tokens were wasted

    Examples:
      | entries | room | kind | burst | seed | shed | waste |
      | 1 | 20 | resumable | 120 | 1 | 20 | 9 |
      | 2 | 20 | resumable | 160 | 2 | 30 | 9 |
      | 2 | 10 | steady | 160 | 3 | 30 | 9 |
      | 3 | 5 | resumable | 200 | 4 | 60 | 9 |
      | 2 | 1000 | resumable | 200 | 5 | 0 | 9 |

  Scenario Outline: Gold arrives while bronze runs: <case>
    Given a cluster of 2 entries with room for <room> waiting
    And 1 <kind> engine that runs 1 at a time
    When bronze is asked at entry-1 for 200 tokens
    And 500 ms later <gold> gold are asked at entry-2 for 20 tokens, due in <due> ms
    Then <complete> gold complete, <shed> are shed and bronze ends as complete
    And bronze was suspended <times> times on its engine and ran once
    And the audit of the cluster finds no breach

    Examples:
      | case | room | kind | gold | due | complete | shed | times |
      | time enough: bronze ends first | 9 | resumable | 1 | 20000 | 1 | 0 | 0 |
      | nearly late: bronze steps aside | 9 | resumable | 1 | 1000 | 1 | 0 | 1 |
      | no place: bronze steps aside | 1 | resumable | 2 | 20000 | 2 | 0 | 1 |
      | no place at all: gold beside gold is shed | 1 | resumable | 4 | 20000 | 2 | 2 | 1 |
      | bronze can't be stopped | 1 | steady | 2 | 20000 | 2 | 0 | 0 |

  Scenario Outline: What can't end in time is refused at once: <case>
    Given a cluster of 2 entries with room for 100 waiting
    And 3 resumable engines of unlike speed
    When <words> words are asked at entry-1 for <output> tokens, due in 2000 ms
    Then it is refused as "deadline_unreachable" within <ms> ms and nothing ran

    Examples:
      | case | words | output | ms |
      | too long a prompt | 60000 | 1 | 10 |
      | too long an answer | 10 | 900 | 10 |

  Scenario Outline: Nobody waits: <case>
    Given a cluster of 1 entries with room for 100 waiting
    And 1 resumable engine that runs 1 at a time
    When bronze is asked at entry-1 for 200 tokens
    And the caller <leaves> after <ms> ms
    Then the engine ran <runs> requests and has none after 20 ms more

    Examples:
      | case | leaves | ms | runs |
      | goes before the dispatch | goes away | 1 | 0 |
      | goes while it prefills | goes away | 15 | 1 |
      | goes while it streams | goes away | 2000 | 1 |
      | sticks to its deadline | waits on a slow engine | 8500 | 1 |

  Scenario Outline: Equal beginnings meet again: <case>
    Given a cluster of 2 entries with room for 100 waiting
    And 3 resumable engines of unlike speed
    When a dossier of 3000 words is asked about <times> times, one each <ms> ms
    Then all complete and at most <prefilled> words were prefilled

    Examples:
      | case | times | ms | prefilled |
      | one after another | 6 | 3000 | 4000 |
      | a holder that is busy isn't waited for | 6 | 20 | 19000 |

  Scenario: A team stays below its limit over its requests
    Given a cluster of 1 entries with room for 100 waiting
    And 3 resumable engines of unlike speed
    And team "brokers" may run 2 at once
    When 8 are asked by "brokers" and 8 by "roasters"
    Then never more than 2 of "brokers" run at once and all 16 complete

  Scenario Outline: A request that crashes engines is found: <engines> engines
    Given a cluster of 2 entries with room for 100 waiting
    And <engines> resumable engines of unlike speed
    When a request that crashes engines is sent again and again for 20 s beside a steady load
    Then the engines crashed twice and it is refused as "poisonous" at both entries
    And all others that weren't beside it complete
    And the audit of the cluster finds no breach

    Examples:
      | engines |
      | 2 |
      | 3 |

  Scenario: An engine that doesn't take connections costs no refusal
    Given a cluster of 1 entries with room for 100 waiting
    And 3 resumable engines of unlike speed
    When the first engine is down for 5 s and 30 are asked each second for 8 s
    Then all complete and no request ran twice

  Scenario: An engine that was slow for a while is tried again
    Given a cluster of 1 entries with room for 100 waiting
    And 1 resumable engine that runs 4 at a time
    When it is 30 times slower for 10 s under load and then as before
    Then what is asked 5 s later completes

  Scenario Outline: Calls of a plain service: <case>
    Given a cluster of 1 entries with room for 100 waiting
    And 2 plain upstreams of which the first fails <failing> calls
    When 30 <kind> calls are made
    Then <complete> complete, <failed> fail, none is refused and <runs> runs were made

    Examples:
      | case | failing | kind | complete | failed | runs |
      | none fails | 0 | idempotent | 30 | 0 | 30 |
      | retried on the other one | 3 | idempotent | 30 | 0 | 33 |
      | not to be repeated | 3 | non-idempotent | 27 | 3 | 30 |
