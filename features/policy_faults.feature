Feature: Crashes, slow-downs, shedding and what a cache holds

  Scenario Outline: Requests that crash upstreams are found: seed <seed>
    Given <bodies> bodies of which <poison> crash what runs them, and <upstreams> upstreams
    When their callers send them again and again with seed <seed>
    Then every one that crashes is poisonous after at most <crashes> crashes in all
    And at most <wrong> other bodies are poisonous and the rest were cleared

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

    # crash:a,b  done:a  told:verdict:a  wait:ms
    Examples:
      | case | events | verdict |
      | first crash | crash:x,y | suspect |
      | second crash alone | crash:x,y crash:x,z | poisonous |
      | second crash beside a suspect | crash:x,y crash:x,y | suspect |
      | finished | crash:x,y done:x | clear |
      | expired | crash:x,y wait:600000 | clear |
      | poisonous outlasts a clearance | crash:x crash:x told:clear:x | poisonous |
      | poisonous expires | crash:x crash:x wait:900000 | clear |
      | told by a peer | told:suspect:x crash:x,y | poisonous |
      | a bystander of a known suspect | told:suspect:y crash:x,y | suspect |
      | cleared by a peer | crash:x told:clear:x | clear |

  Scenario: Suspects are bounded
    When 30000 bodies crash one after another
    Then at most 10000 are remembered and the newest is a suspect

  Scenario Outline: Breaker: <case>
    When a breaker sees <events>
    Then it is <state> and allows a request: <allowed>

    # f failure, u unreachable, s success, b a request begins, then w and a
    # number: ms pass
    Examples:
      | case | events | state | allowed |
      | new | w0 | closed | yes |
      | two failures | f f | closed | yes |
      | three in a row | f f f | open | no |
      | broken row | f f s f f | closed | yes |
      | time to probe | f f f w2000 | probing | yes |
      | one probe only | f f f w2000 b | probing | no |
      | probe completed | f f f w2000 b s | closed | yes |
      | probe failed | f f f w2000 b f | open | no |
      | opens for longer | f f f w2000 b f w2000 | open | no |
      | unreachable | u | open | no |
      | unreachable, soon tried again | u w250 | probing | yes |
      | unreachable twice | u w250 b u w250 | open | no |
      | unreachable for long | u w250 b u w500 b u w1000 b u w1000 b u w1000 | probing | yes |
      | but not for ever | f f f w2000 b f w4000 | probing | yes |

  Scenario Outline: Slow-downs: <case>
    Given an upstream that took <usual> ms 80 times and then <recent> ms <count> times
    Then beside a pool of <pool> it is seen as slow: <slow>

    Examples:
      | case | usual | recent | count | pool | slow |
      | as ever | 20 | 20 | 8 | - | no |
      | sudden | 20 | 90 | 8 | - | yes |
      | one slow call | 20 | 90 | 3 | - | no |
      | a little slower | 20 | 45 | 8 | - | no |
      | always slower than the pool | 90 | 90 | 8 | 20,22,25 | yes |
      | all are slow | 90 | 90 | 8 | 80,95 | no |
      | a pool of two | 90 | 90 | 8 | 20 | no |

  Scenario Outline: What leaves a full queue equals plain loops
    When 500 queues with seed <seed> overflow
    Then what leaves is the least that fits, lowest tier and newest first

    Examples:
      | seed |
      | 1 |
      | 2 |

  Scenario Outline: Shedding: <case>
    Then a request of rank 1 with answers "<own>" beside standing "<standing>" may be shed: <shed>, as a last resort: <last>

    Examples:
      | case | own | standing | shed | last |
      | no agent | - | - | yes | yes |
      | not answered | a: | - | no | no |
      | guaranteed | a: | a:1:higher_tier | yes | yes |
      | by a higher tier's bid | a: | a:0:higher_tier | yes | yes |
      | a lower tier's says nothing | a: | a:2:higher_tier | no | no |
      | one of two agents | a: b: | a:1:higher_tier | no | no |
      | too late at the other | a: b:too_late | a:1:higher_tier | yes | yes |
      | it takes no work | a: | a:1:not_accepting | yes | yes |
      | lower work can't stop | a: | a:1:unstoppable | no | yes |
      | the bid itself is too late | a: | a:1:too_late | no | no |

  Scenario Outline: The prefix index follows an engine's cache: seed <seed>
    Given a cache of <blocks> blocks whose events come 300 ms late and <loss>% are lost
    When 1500 prompts of 40 families are dispatched with seed <seed>
    Then at least <right>% of the estimates are within a block of the truth
    And the index never holds more than 600 keys

    Examples:
      | blocks | loss | seed | right |
      | 200 | 0 | 1 | 95 |
      | 200 | 5 | 2 | 90 |
      | 100 | 30 | 3 | 75 |

  Scenario Outline: Cache events: <case>
    When a prefix index sees <events>
    Then it expects <tokens> cached tokens of "1 2 3"

    # d dispatched, s stored, r removed, c cleared, each with number:keys;
    # then w and a number: ms pass. A block has 64 tokens.
    Examples:
      | case | events | tokens |
      | dispatched | d:1,2,3 | 192 |
      | a gap in the prompt | d:1 d:3 | 64 |
      | removed | d:1,2,3 w3000 r1:2 | 64 |
      | removed before it was used again | w100 d:1,2,3 w300 r1:2 | 192 |
      | told twice | w3000 s1:1,2,3 w3000 r1:2 | 192 |
      | cleared | s1:1,2,3 c2: | 0 |
      | restarted numbers | s9:1,2 x s1:1,2,3 | 192 |
