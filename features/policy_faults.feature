Feature: Crashes, slow-downs, shedding and the prefix index

  Guards against requests that crash one upstream after another, against
  breakers that never close again, against shedding a request while lower
  tiers are served, and against a prefix index that drifts away from the
  engine's cache.

  Scenario Outline: Requests that crash upstreams are identified: seed <seed>
    Given <bodies> bodies of which <poison> crash their upstream, and <upstreams> upstreams
    When they are sent repeatedly with seed <seed>
    Then every crashing body is poisonous after at most <crashes> crashes in total
    And at most <wrong> other bodies are poisonous and the rest are clear

    Examples:
      | bodies | poison | upstreams | seed | crashes | wrong |
      | 30 | 1 | 4 | 1 | 2 | 0 |
      | 30 | 1 | 4 | 5 | 2 | 0 |
      | 60 | 1 | 8 | 6 | 2 | 0 |
      | 30 | 3 | 4 | 2 | 9 | 2 |
      | 60 | 5 | 8 | 3 | 15 | 4 |
      | 30 | 0 | 4 | 4 | 0 | 0 |

  Scenario Outline: Verdicts: <case>
    When suspects see <events>
    Then the verdict on "x" is <verdict>

    # crash:a,b  an upstream that runs a and b crashes
    # done:a     a ends without a crash
    # told:v:a   another process sends the verdict v on a
    # wait:ms    time passes
    Examples:
      | case | events | verdict |
      | first crash | crash:x,y | suspect |
      | second crash alone | crash:x,y crash:x,z | poisonous |
      | second crash beside a suspect | crash:x,y crash:x,y | suspect |
      | finished | crash:x,y done:x | clear |
      | expired | crash:x,y wait:600000 | clear |
      | a poisonous verdict can't be cleared | crash:x crash:x told:clear:x | poisonous |
      | poisonous expires | crash:x crash:x wait:900000 | clear |
      | suspected by a peer | told:suspect:x crash:x,y | poisonous |
      | in flight beside a known suspect | told:suspect:y crash:x,y | suspect |
      | cleared by a peer | crash:x told:clear:x | clear |

  Scenario: Suspects are bounded
    When 30000 bodies crash one after another
    Then at most 10000 are kept and the newest is a suspect

  Scenario Outline: Breaker: <case>
    When a breaker sees <events>
    Then it is <state> and allows a request: <allowed>

    # f: failure, u: no connection, s: success, b: a request begins,
    # w with a number: so many ms pass
    Examples:
      | case | events | state | allowed |
      | new | w0 | closed | yes |
      | two failures | f f | closed | yes |
      | three in a row | f f f | open | no |
      | a success resets the count | f f s f f | closed | yes |
      | open period over | f f f w2000 | probing | yes |
      | only one probe | f f f w2000 b | probing | no |
      | probe completed | f f f w2000 b s | closed | yes |
      | probe failed | f f f w2000 b f | open | no |
      | the next open period is longer | f f f w2000 b f w2000 | open | no |
      | unreachable | u | open | no |
      | unreachable, short open period | u w250 | probing | yes |
      | unreachable twice | u w250 b u w250 | open | no |
      | unreachable for long | u w250 b u w500 b u w1000 b u w1000 b u w1000 | probing | yes |
      | a longer open period ends too | f f f w2000 b f w4000 | probing | yes |

  Scenario Outline: Detection of slow-downs: <case>
    Given an upstream that took <usual> ms 80 times and then <recent> ms <count> times
    Then beside a pool of <pool> it is reported as slow: <slow>

    Examples:
      | case | usual | recent | count | pool | slow |
      | no change | 20 | 20 | 8 | - | no |
      | sudden slow-down | 20 | 90 | 8 | - | yes |
      | one slow call | 20 | 90 | 3 | - | no |
      | a little slower | 20 | 45 | 8 | - | no |
      | always slower than the pool | 90 | 90 | 8 | 20,22,25 | yes |
      | all are slow | 90 | 90 | 8 | 80,95 | no |
      | a pool of two | 90 | 90 | 8 | 20 | no |

  Scenario Outline: Requests removed from a full queue equal those of a simple loop
    When 500 queues with seed <seed> overflow
    Then as few as needed are removed, lowest tier and newest first

    Examples:
      | seed |
      | 1 |
      | 2 |

  Scenario Outline: Shedding: <case>
    Then a request of rank 1 with answers "<own>" and urgent answers "<standing>" may be shed: <shed>, as a last resort: <last>

    Examples:
      | case | own | standing | shed | last |
      | no agent | - | - | yes | yes |
      | no answer yet | a: | - | no | no |
      | guaranteed | a: | a:1:higher_tier | yes | yes |
      | guaranteed for a higher tier's bid | a: | a:0:higher_tier | yes | yes |
      | a lower tier's bid gives no guarantee | a: | a:2:higher_tier | no | no |
      | guaranteed by one of two agents | a: b: | a:1:higher_tier | no | no |
      | too late at the other agent | a: b:too_late | a:1:higher_tier | yes | yes |
      | the agent accepts no work | a: | a:1:not_accepting | yes | yes |
      | lower work can't be suspended | a: | a:1:unstoppable | no | yes |
      | the urgent bid is too late | a: | a:1:too_late | no | no |

  Scenario Outline: The prefix index follows an engine's cache: seed <seed>
    Given a cache of <blocks> blocks whose events come 300 ms late and <loss>% are lost
    When 1500 prompts of 40 families are dispatched with seed <seed>
    Then at least <right>% of the estimates are within a block of the cache
    And the index never holds more than 600 keys

    Examples:
      | blocks | loss | seed | right |
      | 200 | 0 | 1 | 95 |
      | 200 | 5 | 2 | 90 |
      | 100 | 30 | 3 | 75 |

  Scenario Outline: Cache events: <case>
    When a prefix index sees <events>
    Then it expects <tokens> cached tokens of "1 2 3"

    # d: dispatched, s: stored, r: removed, c: cleared, each followed by the
    # event number and the keys; x: the upstream restarted; w with a number:
    # so many ms pass. A block has 64 tokens.
    Examples:
      | case | events | tokens |
      | dispatched | d:1,2,3 | 192 |
      | a block in the middle is missing | d:1 d:3 | 64 |
      | removed | d:1,2,3 w3000 r1:2 | 64 |
      | used again after the removal | w100 d:1,2,3 w300 r1:2 | 192 |
      | a repeated event number is ignored | w3000 s1:1,2,3 w3000 r1:2 | 192 |
      | cleared | s1:1,2,3 c2: | 0 |
      | restarted, event numbers begin again | s9:1,2 x s1:1,2,3 | 192 |
