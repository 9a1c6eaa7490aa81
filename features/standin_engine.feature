Feature: The stand-in engine

  Tests and benchmarks trust this engine's timing, faults and ledger. An error
  in them would hide faults of the scheduler or report false ones.

  Scenario Outline: Runs share the engine according to settings and controls
    Given a stand-in engine with {"prefill_tokens_per_s": 1000, "decode_ms": 10, "batch_slowdown": 0, "tick_ms": 1, "event_loss": 0, "chunk_tokens": 64, <settings>}
    When the stand-in engine executes the script "<script>"
    Then the engine's ledger is "<ledger>"

    # A script is "time action run prompt tokens; ..."; a prompt "a*64+b*2"
    # has 64 words of a and two of b. A ledger line is "run ended prefilled
    # cached generated".
    Examples: arrival order, batch and memory
      | settings | script | ledger |
      | "max_batch": 1 | 0 run x a*10 5; 1 run y b*10 5; 2000 look | x completed 10 0 5; y completed 10 0 5 |
      | "max_batch": 1 | 0 run x a*10 5; 1 run y b*10 5; 45 look | x - 10 0 4; y - 0 0 0 |
      | "max_batch": 2 | 0 run x a*10 5; 1 run y b*10 5; 55 look | x - 10 0 4; y - 10 0 3 |
      | "kv_tokens": 30 | 0 run x a*10 9; 1 run y b*10 9; 2 run z c*1 1; 60 look | x - 10 0 6; y - 0 0 0; z - 0 0 0 |

    Examples: prefix cache
      | settings | script | ledger |
      | "max_batch": 4 | 0 run x a*128+b*9 1; 500 run y a*128+c*9 1; 900 look | x completed 137 0 1; y completed 9 128 1 |
      | "cache_tokens": 64 | 0 run x a*128+b*9 1; 500 run y a*128+c*9 1; 900 look | x completed 137 0 1; y completed 73 64 1 |
      | "cache_tokens": 0 | 0 run x a*128+b*9 1; 500 run y a*128+c*9 1; 900 look | x completed 137 0 1; y completed 137 0 1 |
      | "max_batch": 4 | 0 run x a*128 1; 500 run y a*128 1; 900 look | x completed 128 0 1; y completed 1 127 1 |

    Examples: suspend, resume, cancel
      | settings | script | ledger |
      | "max_batch": 1 | 0 run x a*10 9; 1 run y b*10 2; 45 suspend x; 90 look | y completed 10 0 2; x - 10 0 4 |
      | "max_batch": 1 | 0 run x a*10 9; 1 run y b*10 2; 45 suspend x; 90 resume x; 900 look | y completed 10 0 2; x completed 10 0 9 |
      | "max_batch": 1 | 0 run x a*10 9; 45 cancel x; 900 look | x cancelled 10 0 4 |
      | "max_batch": 1 | 0 run x a*10 9; 1 run y b*10 2; 45 cancel y; 900 look | y cancelled 0 0 0; x completed 10 0 9 |

    Examples: faults
      | settings | script | ledger |
      | "max_batch": 4 | 0 control {"slow_factor":4}; 1 run x a*10 3; 100 look | x - 10 0 2 |
      | "max_batch": 4 | 0 run x a*10 9; 35 control {"stall_ms":500}; 500 look; 599 look | x completed 10 0 9 |
      | "max_batch": 4 | 0 run x a*10 9; 35 control {"stall_ms":500}; 530 look | x - 10 0 3 |
      | "max_batch": 4 | 0 control {"break_runs":1,"break_after_tokens":3}; 1 run x a*10 9; 2 run y b*10 9; 999 look | x broken 10 0 3; y completed 10 0 9 |
      | "crash_mark": "b1" | 0 run x a*10 90; 100 run y b*2 9; 200 look | x crashed 10 0 11; y crashed 0 0 0 |
      | "max_batch": 4 | 0 run x a*10 90; 45 control {"crash":true}; 200 look | x crashed 10 0 4 |
      | "order_ms": 100 | 0 run x a*10 9; 5 order m 1; 6 run y b*10 2; 85 look | x - 10 0 8; y - 0 0 0 |
      | "order_ms": 100 | 0 run x a*10 9; 5 order m 1; 6 run y b*10 2; 300 look | x completed 10 0 9; y completed 10 0 2 |

  Scenario Outline: Orders with old fencing numbers
    Given a stand-in engine with {"order_ms": 100, "checks_orders": <checks>}
    When the stand-in engine executes the script "<script>"
    Then the engine's orders ended as "<states>" and it has loaded <loaded>

    Examples:
      | checks | script | states | loaded |
      | true | 0 order m 5; 200 order n 4; 900 look | applied refused | m |
      | false | 0 order m 5; 200 order n 4; 900 look | applied applied | n |
      | true | 0 order m 4; 50 order n 5; 900 look | superseded applied | n |
      | true | 0 order m 5; 200 order n 5; 900 look | applied applied | n |
      | true | 0 order m 5; 50 look | running | bean-model |

  Scenario Outline: Cache events are delayed and may be lost
    Given a stand-in engine with {"prefill_tokens_per_s": 1000, "event_lag_ms": 300, "event_loss": <loss>, "cache_tokens": 128}
    When the stand-in engine executes the script "0 run x a*128 1; <script>"
    Then the engine's cache events after <after> are "<events>"

    Examples:
      | loss | script | after | events |
      | 0 | 427 look | 0 | - |
      | 0 | 428 look | 0 | 1 stored 2 |
      | 0 | 500 run y b*128 1; 2000 look | 0 | 1 stored 2; 2 stored 2; 3 removed 2 |
      | 0 | 500 run y b*128 1; 2000 look | 2 | 3 removed 2 |
      | 0.9 | 500 run y b*128 1; 2000 look | 0 | - |

  Scenario Outline: The load report is delayed
    Given a stand-in engine with {"load_lag_ms": 1000}
    When the stand-in engine executes the script "0 run x a*10 100; <until> look"
    Then the engine reports <running> running

    Examples:
      | until | running |
      | 900 | 0 |
      | 1900 | 1 |
      | 4000 | 0 |

  Scenario Outline: The engine's HTTP answers are computed from the prompt
    Given a stand-in engine with {}
    When "<body>" is posted to the engine's <path>
    Then the engine answers <status> with the text "<text>"

    Examples:
      | path | body | status | text |
      | /v1/completions | {"model":"bean-model","prompt":"how moist","max_tokens":2} | 200 | answer of 2 to how moist |
      | /v1/completions | {"model":"bean-model","prompt":"how moist","max_tokens":3,"stream":true} | 200 | answer of 3 to how moist |
      | /v1/chat/completions | {"model":"bean-model","messages":[{"role":"user","content":"how moist"}],"max_tokens":3} | 200 | answer of 3 to user: how moist |
      | /v1/chat/completions | {"model":"bean-model","messages":[{"role":"user","content":"how moist"}],"max_tokens":3,"stream":true} | 200 | answer of 3 to user: how moist |
      | /v1/completions | {"model":"other","prompt":"x"} | 404 | model 'other' is not loaded |
      | /v1/completions | [] | 400 | the body is not a JSON object |
      | /v1/completions | {"model":"bean-model","prompt":"x","max_tokens":0} | 400 | max_tokens: 0 is not a positive number |
      | /v1/completions | {"model":"bean-model","prompt":"x","max_tokens":100000} | 400 | the context is too long |
      | /orders | {"model":3} | 400 | order: key 'model': 3 is not a string |
      | /control | {"slow_facto":3} | 400 | control: key 'slow_facto': unknown key; did you mean 'slow_factor'? |
      | /runs/none/cancel | {} | 404 | run 'none' is not here |
      | /kv/import | {"model":"bean-model","keys":["x"]} | 400 | keys: not a list of numbers |
      | /kv/import | {"model":"other","keys":[]} | 409 | model 'other' isn't loaded |

  Scenario: Runs without a request id get distinct ids
    Given a stand-in engine with {}
    When "{"model":"bean-model","prompt":"x y","max_tokens":1}" is posted to the engine's /v1/completions
    And "{"model":"bean-model","prompt":"x y","max_tokens":1}" is posted to the engine's /v1/completions
    Then the engine's ledger is "run-1 completed 2 0 1; run-2 completed 2 0 1"

  Scenario: A cache exported from one engine saves prefill on another
    Given a stand-in engine with {"event_loss": 0}
    And a second stand-in engine with {"event_loss": 0}
    When the stand-in engine executes the script "0 run x a*128+b*9 1; 900 look"
    And the cache of "a*128+b*9" is moved to the second engine
    And the stand-in engine executes the script "0 run y a*128+c*9 1; 900 look"
    Then the engine's ledger is "y completed 9 128 1"

  Scenario: A disconnecting caller cancels its run
    Given a stand-in engine with {}
    When a caller asks for a long stream and closes its connection
    Then the engine's ledger is "gone cancelled 2 0 5"

  Scenario: A crash resets connections and closes the port for the downtime
    Given a stand-in engine with {"down_ms": 400}
    When a prompt with the crash mark arrives while another run is active
    Then both connections are reset, and the port is closed for 400 ms

  Scenario Outline: Prompts share the block keys of their common prefix
    Then the prompts "<first>" and "<second>" share <shared> of <all> keys

    Examples:
      | first | second | shared | all |
      | a*128 | a*128 | 2 | 2 |
      | a*127 | a*127 | 1 | 1 |
      | a*63 | a*63 | 0 | 0 |
      | a*64+b*64 | a*64+c*64 | 1 | 2 |
      | b*64+a*64 | c*64+a*64 | 0 | 2 |
