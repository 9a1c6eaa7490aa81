Feature: Limits and estimates learnt from an engine's token times

  Guards against limits that overload an engine or leave it idle, also after it
  slows down, and against estimates that don't follow its speed.

  # In each step an engine generates one token for each request in its batch.
  # A step takes <step> ms, plus <crowd> ms for each further request. Requests
  # in excess of <batch> wait inside the engine. The best limit is the largest
  # with steps of at most 62 ms.
  Scenario Outline: The limit adapts to an engine: <step> ms, <crowd> ms
    Given an engine with steps of <step> ms, <crowd> ms more per request and a batch of <batch>
    When it runs for <seconds> s under a full load
    Then the limit lies between <low> and <high>
    And under 5% of the gaps after the first 5 s were above <longest> ms

    Examples:
      | step | crowd | batch | seconds | low | high | longest |
      | 20 | 0.6 | 16 | 30 | 12 | 17 | 62 |
      | 20 | 3.0 | 64 | 30 | 9 | 15 | 62 |
      | 8 | 0.2 | 64 | 8 | 50 | 64 | 62 |
      | 50 | 2.0 | 16 | 20 | 4 | 7 | 62 |
      | 90 | 4.0 | 16 | 20 | 8 | 13 | 135 |

  Scenario Outline: The limit falls quickly when the engine slows by <factor>
    Given an engine with steps of 20 ms, 2 ms more per request and a batch of 64
    When it runs for 15 s under a full load
    And it slows down by a factor of <factor> and runs for <ms> ms
    Then the limit lies between 1 and <high>
    When it is as fast as before and runs for 20 s
    Then the limit lies between 8 and 22

    Examples:
      | factor | ms | high |
      | 2 | 2000 | 7 |
      | 3 | 3000 | 3 |

  Scenario Outline: The limit on unprefilled tokens follows the time to the first token
    Given an engine that prefills <speed> tokens a ms
    When 200 prompts of <prompt> tokens arrive as fast as the limit lets them
    Then the limit on unprefilled tokens lies between <low> and <high>
    And the last waits for a first token took at most <longest> ms

    Examples:
      | speed | prompt | low | high | longest |
      | 8 | 400 | 3500 | 4900 | 620 |
      | 2 | 300 | 900 | 1250 | 620 |
      | 1 | 2000 | 256 | 2048 | 2000 |

  Scenario Outline: Requests that fit: <case>
    Given limits of 3 requests, 1000 unprefilled tokens and <kv> KV cache tokens
    Then a prompt of <prompt> beside runs of <runs> fits: <fits>

    # A run is remaining prompt tokens/KV cache tokens, then s when suspended.
    Examples:
      | case | kv | prompt | runs | fits |
      | nothing runs | 0 | 5000 | - | yes |
      | within every limit | 0 | 400 | 500/0 0/0 | yes |
      | too many requests | 0 | 400 | 0/0 0/0 0/0 | no |
      | suspended requests don't count | 0 | 400 | 0/0 0/0 0/0s | yes |
      | too many tokens | 0 | 600 | 500/0 | no |
      | a long prompt without others ahead | 0 | 5000 | 0/0 | yes |
      | memory full | 1000 | 400 | 0/700 | no |
      | enough memory | 1000 | 200 | 0/700 | yes |

  Scenario Outline: Estimates: <case>
    Given speeds of 2 tokens per ms and 10 ms per token, 20 ms with 2 or more
    Then a prompt of <prompt> with <cached> cached and <output> output tokens behind <ahead> ends in <ms> ms

    Examples:
      | case | prompt | cached | output | ahead | ms |
      | alone | 1000 | 0 | 10 | - | 600 |
      | cached prefix | 1000 | 600 | 10 | - | 300 |
      | behind a prompt | 1000 | 0 | 10 | 400 | 900 |
      | suspended work | 1000 | 0 | 10 | 400s | 600 |

  Scenario Outline: Speeds follow an engine: <case>
    When speeds start at <start> and <seen> is observed 20 times
    Then the learnt speed is within 5% of <seen> after <most> times

    Examples:
      | case | start | seen | most |
      | slows down | 8 | 2 | 8 |
      | speeds up | 2 | 8 | 20 |

  Scenario Outline: Estimates of prompts in progress equal a count token by token
    When 200 random prompt queues with seed <seed> are estimated
    Then each estimate is within 2 tokens of a count token by token

    Examples:
      | seed |
      | 1 |
      | 2 |

  Scenario: Answer lengths are learnt per team and service, in bounded memory
    Given at most 3 lengths are kept
    When answers of 100 tokens are seen for 5 teams
    Then 3 teams are kept and expect 100 tokens, others 256
    And an answer limited to 50 tokens is expected to have 50
