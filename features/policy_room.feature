Feature: Room and estimates learnt from what an engine does

  # An engine generates a token for each of its runs in a step; a step takes
  # step ms, and crowd ms more for each further run. More than batch runs
  # wait inside it. The best cap is the largest that holds 62 ms.
  Scenario Outline: The cap finds an engine's room: <step> ms, <crowd> ms
    Given an engine with steps of <step> ms, <crowd> ms more a run and a batch of <batch>
    When it works for <seconds> s under a full load
    Then the cap lies between <low> and <high>
    And under 5% of the gaps after the first 5 s were above <longest> ms

    Examples:
      | step | crowd | batch | seconds | low | high | longest |
      | 20 | 0.6 | 16 | 30 | 12 | 17 | 62 |
      | 20 | 3.0 | 64 | 30 | 9 | 15 | 62 |
      | 8 | 0.2 | 64 | 8 | 50 | 64 | 62 |
      | 50 | 2.0 | 16 | 20 | 4 | 7 | 62 |
      | 90 | 4.0 | 16 | 20 | 8 | 13 | 135 |

  Scenario Outline: The cap falls quickly when the engine slows by <factor>
    Given an engine with steps of 20 ms, 2 ms more a run and a batch of 64
    When it works for 15 s under a full load
    And it slows down by <factor> and works for <ms> ms
    Then the cap lies between 1 and <high>
    When it is as fast as before and works for 20 s
    Then the cap lies between 8 and 22

    Examples:
      | factor | ms | high |
      | 2 | 2000 | 7 |
      | 3 | 3000 | 3 |

  Scenario Outline: Unprefilled tokens follow the first token's time
    Given an engine that prefills <speed> tokens a ms
    When 200 prompts of <prompt> tokens arrive as fast as the cap lets them
    Then the cap on unprefilled tokens lies between <low> and <high>
    And the last first tokens took at most <longest> ms

    Examples:
      | speed | prompt | low | high | longest |
      | 8 | 400 | 3500 | 4900 | 620 |
      | 2 | 300 | 900 | 1250 | 620 |
      | 1 | 2000 | 256 | 2048 | 2000 |

  Scenario Outline: What fits: <case>
    Given room for 3 requests, 1000 unprefilled tokens and <kv> tokens of memory
    Then a prompt of <prompt> beside runs of <runs> fits: <fits>

    # A run is prompt left/memory, then s when it is suspended.
    Examples:
      | case | kv | prompt | runs | fits |
      | nothing runs | 0 | 5000 | - | yes |
      | under every cap | 0 | 400 | 500/0 0/0 | yes |
      | too many | 0 | 400 | 0/0 0/0 0/0 | no |
      | suspended don't count | 0 | 400 | 0/0 0/0 0/0s | yes |
      | too many tokens | 0 | 600 | 500/0 | no |
      | a long prompt when nothing is ahead | 0 | 5000 | 0/0 | yes |
      | memory full | 1000 | 400 | 0/700 | no |
      | memory enough | 1000 | 200 | 0/700 | yes |

  Scenario Outline: Estimates: <case>
    Given speeds of 2 tokens a ms and 10 ms a token, 20 ms with 2 or more
    Then a prompt of <prompt> with <cached> cached and <output> to come beside <ahead> ahead ends in <ms> ms

    Examples:
      | case | prompt | cached | output | ahead | ms |
      | alone | 1000 | 0 | 10 | - | 600 |
      | cached prefix | 1000 | 600 | 10 | - | 300 |
      | behind a prompt | 1000 | 0 | 10 | 400 | 900 |
      | suspended work | 1000 | 0 | 10 | 400s | 600 |

  Scenario Outline: Speeds follow an engine: <case>
    When speeds start at <start> and 20 times <seen> is seen
    Then the learnt speed is within 5% of <seen> after <most> times

    Examples:
      | case | start | seen | most |
      | slows down | 8 | 2 | 8 |
      | speeds up | 2 | 8 | 20 |

  Scenario Outline: Prompts in progress equal a token by token count
    When 200 random prompt queues with seed <seed> are estimated
    Then each estimate is within 2 tokens of counting them one by one

    Examples:
      | seed |
      | 1 |
      | 2 |

  Scenario: Lengths of answers are learnt per team and service, bounded
    Given at most 3 lengths are kept
    When answers of 100 tokens are seen for 5 teams
    Then 3 teams are remembered and expect 100 tokens, others 256
    And an answer limited to 50 tokens is expected to have 50
