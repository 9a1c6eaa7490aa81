Feature: Short work of a lower tier may go first while there is time

  Guards against lower tiers that miss deadlines needlessly under strict
  tier order, and against a higher tier made late by a lower one.

  # A bid is id:tier/deadline in s/engine time in ms. The number after the
  # bar is the number of agents that may run each bid, 1 by default.
  Scenario Outline: Worked cases: <case>
    Given lookahead bids <bids>
    When the lookahead improves the strict choice
    Then the lookahead pulls "<pull>"

    Examples:
      | case | bids | pull |
      | the higher tier has ample time | a:0/20/500 b:1/2/100 | b |
      | the lower one is due later | a:0/20/500 b:1/30/100 | a |
      | the higher tier needs the time | a:0/2/500 b:1/1/300 | a |
      | several higher ones add up | a:0/9/900 c:0/9/900 d:0/9/900 b:1/2/600 | a |
      | other agents share the work | a:0/9/900 c:0/9/900 d:0/9/900 b:1/2/600 \|3 | b |
      | the tier between counts too | a:0/20/500 m:1/3/900 b:2/2/300 | m |
      | nothing of a higher tier | b:1/2/100 | b |

  Scenario Outline: The spare time equals that of a simple loop
    When the spare time of <cases> random sets with seed <seed> is compared
    Then each spare time equals the minimum over all deadlines

    Examples:
      | seed | cases |
      | 1 | 500 |
      | 2 | 500 |
