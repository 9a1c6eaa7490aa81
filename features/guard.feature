Feature: Rate limits, retries and circuit breakers for calls to the platform

  # Calls are "time in ms, call, arguments; ...". Outcomes apply in order to
  # the calls that reach the platform, "ok" after the last: down (fails without
  # effect), lost (takes effect, answer lost), hang (no effect, no answer),
  # late (the answer to a read arrives one second after the data was read).
  Scenario Outline: What callers get and what reaches the platform
    Given a guard with {"fleet_reads_per_s": 0, "fleet_writes_per_s": 0, "min_burst": 1, <settings>} for <live> processes
    When outcomes are "<outcomes>" for "<calls>" until <until>
    Then the guarded calls end as "<results>" after <inner> calls with retries "<retries>" and refusals "<refusals>"

    Examples: retries, but none of a write whose lost answer makes that unsafe
      | settings | live | outcomes | calls | until | results | inner | retries | refusals |
      | | 1 | ok | 0 read k | 20000 | none | 1 | - | - |
      | | 1 | down | 0 read k | 20000 | none | 2 | unavailable | - |
      | | 1 | down down down | 0 read k | 20000 | unavailable | 3 | unavailable unavailable | - |
      | | 1 | hang | 0 read k | 20000 | none | 2 | unavailable | - |
      | | 1 | down | 0 write k a 0 | 20000 | swapped 1 | 2 | unavailable | - |
      | | 1 | lost | 0 write k a 0; 50 read k | 20000 | lost; a 1 | 2 | - | - |
      | | 1 | hang | 0 write k a 0; 2500 read k | 20000 | lost; none | 2 | - | - |
      | | 1 | lost | 0 delete k 0 | 20000 | lost | 1 | - | - |
      | | 1 | lost | 0 put o x; 2000 get o | 20000 | none; x | 3 | answer_lost | - |
      | | 1 | down | 0 weights w | 20000 | unavailable | 1 | - | - |
      | | 1 | down | 0 announce e1 900 | 20000 | unavailable | 1 | - | - |
      | "attempt_limit_ms": 500 | 1 | late | 0 read k; 499 read j | 20000 | none; none | 3 | unavailable | - |
      | | 1 | down ok down ok down ok down | 0 read a; 500 read b; 1000 read c; 1500 read d | 20000 | none; none; none; unavailable | 7 | unavailable unavailable unavailable | retry_budget |

    Examples: identical reads are merged, but not with one sent before the caller asked
      | settings | live | outcomes | calls | until | results | inner | retries | refusals |
      | | 1 | late late | 0 read k; 10 read k; 20 read k; 30 read j | 20000 | none; none; none; none | 3 | - | - |
      | | 1 | late | 0 read k; 500 write k a 0; 600 read k | 20000 | none; swapped 1; a 1 | 3 | - | - |
      | | 1 | down ok | 0 read k; 0 read k | 20000 | none; none | 2 | unavailable | - |

    Examples: a service that is down gets no calls but an occasional test
      | settings | live | outcomes | calls | until | results | inner | retries | refusals |
      | "max_attempts": 1 | 1 | down down down | 0 read a; 10 read b; 20 read c; 30 read d; 2019 read e; 2020 read f | 20000 | unavailable; unavailable; unavailable; unavailable; unavailable; none | 4 | - | breaker_open breaker_open |
      | "max_attempts": 1 | 1 | down down down late | 0 read a; 10 read b; 20 read c; 2020 read d; 2100 read e; 3100 read f | 20000 | unavailable; unavailable; unavailable; none; unavailable; none | 5 | - | breaker_open |
      | "max_attempts": 1 | 1 | down down down down | 0 read a; 10 read b; 20 read c; 2020 read d; 6019 read e; 6020 read f | 20000 | unavailable; unavailable; unavailable; unavailable; unavailable; none | 5 | - | breaker_open |
      | "max_attempts": 1, "max_open_ms": 3000 | 1 | down down down down | 0 read a; 10 read b; 20 read c; 2020 read d; 5020 read e | 20000 | unavailable; unavailable; unavailable; unavailable; none | 5 | - | - |
      | "max_attempts": 1 | 1 | down down down | 0 get a; 10 get b; 20 get c; 30 get d; 40 read e; 50 write f x 0 | 20000 | unavailable; unavailable; unavailable; unavailable; none; swapped 1 | 5 | - | breaker_open |
      | "max_attempts": 1 | 1 | down down ok down down | 0 read a; 10 read b; 20 read c; 30 read d; 40 read e; 50 read f | 20000 | unavailable; unavailable; none; unavailable; unavailable; none | 6 | - | - |
      | "max_attempts": 1 | 1 | hang hang hang | 0 write a x 0; 10 write b x 0; 20 write c x 0; 2100 write d x 0 | 20000 | lost; lost; lost; unavailable | 3 | - | breaker_open |
      | "max_attempts": 1, "fleet_reads_per_s": 1, "burst_s": 0 | 1 | down down down | 0 read a; 10 read b; 20 read c; 2500 read d | 2550 | unavailable; unavailable; unavailable; unavailable | 3 | - | breaker_open |
      | "max_attempts": 1, "fleet_reads_per_s": 1, "burst_s": 0 | 1 | down down down | 0 read a; 10 read b; 20 read c; 30 read d | 20000 | unavailable; unavailable; unavailable; unavailable | 3 | - | breaker_open |

    Examples: the process keeps to its share of the fleet's rate
      | settings | live | outcomes | calls | until | results | inner | retries | refusals |
      | "fleet_reads_per_s": 10, "burst_s": 0 | 2 | ok | 0 read a; 0 read b; 0 read c; 0 read d | 405 | none; none; none; - | 3 | - | - |
      | "fleet_reads_per_s": 10, "burst_s": 0 | 2 | ok | 0 read a; 0 read b; 0 read c; 0 read d | 190 | none; -; -; - | 1 | - | - |
      | "fleet_reads_per_s": 10, "burst_s": 1 | 2 | ok | 0 read a; 0 read b; 0 read c; 0 read d | 10 | none; none; none; none | 4 | - | - |
      | "fleet_reads_per_s": 10, "burst_s": 0, "min_burst": 3 | 2 | ok | 0 read a; 0 read b; 0 read c; 0 read d | 10 | none; none; none; - | 3 | - | - |
      | "fleet_reads_per_s": 10, "burst_s": 0 | 2 | ok | 0 read a; 0 write k x 0 | 10 | none; swapped 1 | 2 | - | - |
      | "fleet_writes_per_s": 1, "burst_s": 0, "max_queued": 1 | 1 | ok | 0 write a x 0; 0 write b x 0; 0 write c x 0 | 20000 | swapped 1; swapped 2; unavailable | 2 | - | queue_full |
      | "fleet_writes_per_s": 1, "burst_s": 0, "call_limit_ms": 900 | 1 | ok | 0 write a x 0; 0 write b x 0; 1500 write c x 0 | 20000 | swapped 1; unavailable; swapped 2 | 2 | - | queue_timeout |

  Scenario Outline: Under random faults each caller gets one answer that is not outdated
    Then with seed <seed> no guarded write takes effect twice, no read returns data older than its call and no second has more calls than the share allows

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
      | 4 |
      | 5 |
      | 6 |

  Scenario Outline: Simultaneous calls of a whole fleet are spread over time
    When <processes> guarded processes each make a <kind> at once
    Then every call of the fleet is answered within <limit> ms with at most <refused> refusals by the rate limit

    Examples:
      | processes | kind | limit | refused |
      | 8 | write | 0 | 0 |
      | 500 | write | 3000 | 300 |
      | 500 | read | 0 | 0 |

  Scenario: A fleet makes few calls to a platform that is down and recovers soon after
    When 60 guarded processes read every 2 s through an outage of 30 s
    Then at most 20 calls per second reach it, at most 60 in any second after the outage, and all have answers within 4500 ms
