Feature: Admission, choice of agents, holds and retries

  Guards against accepting more than the limits of a queue or team allow,
  against Retry-After values that ignore the drain rate, against agents that
  get no bids, and against retries that multiply a failure.

  Scenario Outline: Admission: <case>
    Given a queue of 10 requests and 1000 bytes that holds <requests> and <bytes>
    And a team that may have 4 waiting and 1000 tokens a second, with <waiting> waiting and <level> tokens left
    When at a share of <share> a request of <tokens> tokens and <body> bytes arrives that needs <needs> of 500 ms
    Then admission says "<answer>"

    Examples:
      | case | requests | bytes | waiting | level | share | tokens | body | needs | answer |
      | fits | 0 | 0 | 0 | 500 | 1 | 100 | 10 | 400 | admitted, 400 left |
      | no upstream known | 0 | 0 | 0 | 500 | 1 | 100 | 10 | - | admitted, 400 left |
      | one request may overdraw | 0 | 0 | 0 | 1 | 1 | 5000 | 10 | 400 | admitted, -4999 left |
      | overdrawn | 0 | 0 | 0 | -99 | 1 | 1 | 10 | 400 | team_token_limit after 100 |
      | overdrawn, half the share | 0 | 0 | 0 | -99 | 0.5 | 1 | 10 | 400 | team_token_limit after 200 |
      | too many waiting | 4 | 0 | 4 | 500 | 1 | 1 | 10 | 400 | team_waiting_limit after 777 |
      | half the share of waiting | 4 | 0 | 2 | 500 | 0.5 | 1 | 10 | 400 | team_waiting_limit after 777 |
      | queue full | 10 | 0 | 0 | 500 | 1 | 1 | 10 | 400 | queue_full after 777 |
      | bytes full | 1 | 995 | 0 | 500 | 1 | 1 | 10 | 400 | queue_full after 777 |
      | bytes fit exactly | 1 | 990 | 0 | 500 | 1 | 100 | 10 | 400 | admitted, 400 left |
      | deadline unreachable | 0 | 0 | 0 | 500 | 1 | 1 | 10 | 501 | deadline_unreachable after 777 |

  Scenario Outline: A token bucket keeps to its rate
    When a team of <rate> tokens a second asks <count> times with seed <seed>
    Then it got at most its rate, one second's tokens and one request
    And at least 90% of its rate while it asked for more

    Examples:
      | rate | count | seed |
      | 1000 | 2000 | 1 |
      | 50 | 2000 | 2 |

  Scenario Outline: Retry-After follows the measured rate: one request per <gap> ms
    Given a queue that drained one request every <gap> ms for <seconds> s
    Then with <ahead> ahead Retry-After is <low> to <high> ms

    Examples:
      | gap | seconds | ahead | low | high |
      | 10 | 2 | 99 | 900 | 1100 |
      | 10 | 60 | 99 | 900 | 1100 |
      | 200 | 30 | 9 | 1700 | 2300 |
      | 1 | 5 | 9 | 250 | 250 |
      | 5000 | 30 | 99 | 60000 | 60000 |
      | 100 | 0 | 5 | 1000 | 1000 |

  Scenario: Retry-After grows when a queue stops draining
    Given a queue that drained one request every 10 ms for 20 s
    When nothing leaves for 40 s
    Then with 99 ahead Retry-After is 16000 to 22000 ms

  Scenario Outline: Agents that get a bid: <agents> agents, prefix <prefix>
    When 300 requests with <prefix> prefix choose among <agents> agents with seed 1
    Then each has <chosen> agents, of which at least <zone> are of its own availability zone
    And the first <first> are the same for equal prefixes
    And every agent is chosen by some request

    Examples:
      | agents | prefix | chosen | zone | first |
      | 5 | one | 5 | 0 | 5 |
      | 32 | one | 32 | 0 | 32 |
      | 33 | own | 16 | 6 | 4 |
      | 200 | own | 16 | 6 | 4 |
      | 200 | no | 16 | 6 | 0 |

  Scenario: Few prefixes change their agents when an agent leaves
    When an agent of 200 leaves
    Then under 4% of 1000 prefixes prefer different agents than before

  Scenario Outline: Hold times: <case>
    Then agents with <cached> cached tokens at 2 tokens a ms and <spare> ms of slack hold for <holds> ms

    Examples:
      | case | cached | spare | holds |
      | no agent has the prefix | 0,0,0 | 9999 | 0,0,0 |
      | as long as the prefill time saved | 800,0,600 | 9999 | 0,400,100 |
      | no longer than the slack | 800,0,600 | 250 | 0,250,100 |
      | no slack | 800,0,600 | -5 | 0,0,0 |
      | bounded | 80000,0,0 | 9999 | 0,1000,1000 |

  Scenario Outline: Retries stay within their budget
    When <calls> calls of which <failing>% fail request retries with seed <seed>
    Then at most a tenth of the calls and 3 are retried
    And at least <least> are retried

    Examples:
      | calls | failing | seed | least |
      | 2000 | 2 | 1 | 30 |
      | 2000 | 90 | 2 | 195 |

  Scenario Outline: Calls that may be retried: <case>
    Then a call that is <kind>, tried <attempts> times with <slack> ms left and 100 ms needed may be retried: <answer>

    Examples:
      | case | kind | attempts | slack | answer |
      | tried once | idempotent | 1 | 500 | yes |
      | not idempotent | non-idempotent | 1 | 500 | no |
      | all attempts used | idempotent | 3 | 500 | no |
      | no time left | idempotent | 1 | 100 | no |

  Scenario: Backoff is jittered and bounded
    Then 200 delays before attempt 1 lie between 0 and 25 ms and are spread out
    And 200 delays before attempt 9 lie between 0 and 1000 ms and are spread out
