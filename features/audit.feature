Feature: Audit of the promises on traces

  An audit that misses a broken promise reports a faulty run as good, and one
  that reports breaches where there are none hides the real ones. Each
  scenario changes a correct trace and compares the breaches found.

  Background:
    Given the trace
      """
      0     e1 process_started - role=entry
      0     e2 process_started - role=entry
      0     a1 process_started - role=agent resumable=true
      0     a2 process_started - role=agent
      10    e1 generation - generation=1 snapshot_hash=h1
      20    e2 generation - generation=1 snapshot_hash=h1
      30    a1 generation - generation=1 snapshot_hash=h1
      100   e1 accepted e1-1 tier_rank=2 pools=["p"] timeout_ms=9000 is_model=true idempotent=true
      101   a1 pulled e1-1
      102   e1 dispatched e1-1 run_id=e1-1 agent=a1
      103   a1 started e1-1 run_id=e1-1
      104   e1 started e1-1 run_id=e1-1 agent=a1
      200   e2 accepted e2-1 tier_rank=1 pools=["q"] timeout_ms=9000 is_model=false idempotent=false
      201   e2 dispatched e2-1 run_id=e2-1 agent=a2
      202   a2 started e2-1 run_id=e2-1
      300   a2 ended e2-1 run_id=e2-1 outcome=completed digest=d2 count=1
      301   e2 told e2-1 outcome=completed digest=d2 count=1
      400   e2 accepted e2-2 tier_rank=1 pools=["q"] timeout_ms=9000 is_model=false idempotent=true
      401   e2 dispatched e2-2 run_id=e2-2 agent=a2
      402   a2 started e2-2 run_id=e2-2
      403   a2 ended e2-2 run_id=e2-2 outcome=failed digest=d3 count=0
      404   e2 dispatched e2-2 run_id=e2-2.2 agent=a2
      405   a2 started e2-2 run_id=e2-2.2
      406   a2 ended e2-2 run_id=e2-2.2 outcome=completed digest=d4 count=3
      407   e2 told e2-2 outcome=completed digest=d4 count=3
      1000  e2 accepted e2-3 tier_rank=0 pools=["p"] timeout_ms=9000 is_model=true idempotent=true
      1001  e2 urgent e2-3 agents=["a1"]
      1002  a1 suspended e1-1 run_id=e1-1
      1500  e2 refused e2-3 reason=shed tier_rank=0
      1500  e2 told e2-3 outcome=refused reason=shed
      1700  a1 resumed e1-1 run_id=e1-1
      2000  a1 ended e1-1 run_id=e1-1 outcome=completed digest=d1 count=7
      2001  e1 told e1-1 outcome=completed digest=d1 count=7
      3000  e1 generation - generation=2 snapshot_hash=h2
      3500  e2 generation - generation=2 snapshot_hash=h2
      3900  a1 generation - generation=2 snapshot_hash=h2
      4000  a2 leaving - reason=sigterm
      9000  a2 process_stopped - abandoned=0
      15000 e1 process_stopped - abandoned=0
      15000 e2 verdict - verdict=clear
      15000 a1 verdict - verdict=clear
      """
    And the ledger
      """
      {"run": {"run_id": "e1-1", "number": 1}}
      {"calls": [{"request_id": "e2-1", "took_effect": true, "idempotency_key": "k", "method": "POST", "path": "/x"}]}
      """

  Scenario: A correct trace keeps every promise
    When the trace is audited
    Then the audit finds no breach and has 4 requests

  Scenario Outline: A breach of each promise is found
    When the trace is changed by <damage>
    And the trace is audited
    Then the audit finds only "<promise>" breached: <breach>

    Examples: traces and outcomes
      | damage | promise | breach |
      | lost line 5 of e1 | trace whole | e1: line 5 is missing or doubled, found 6 |
      | added 500 a1 pulled e9-1 | trace whole | pulled of e9-1, which no entry accepted |
      | added 301 e2 told e2-1 outcome=completed digest=d2 count=1 | one outcome for each request | e2-1 was told ['completed', 'completed'] |
      | removed 301 e2 told e2-1 | one outcome for each request | e2-1 was told nothing |

    Examples: at most once
      | damage | promise | breach |
      | added 250 e1 dispatched e1-1 run_id=e1-1 agent=a2 | dispatched at most once | run e1-1 was dispatched 2 times |
      | added 250 a2 started e1-1 run_id=e1-1.2 and added 260 a2 ended e1-1 run_id=e1-1.2 | dispatched at most once | e1-1 was started at ['a1', 'a2'] |
      | added ledger {"run": {"run_id": "e1-1.2"}} | dispatched at most once | e1-1 reached upstreams 2 times |
      | added ledger {"call": {"request_id": "e1-7", "took_effect": true}} and added 600 e1 accepted e1-7 idempotent=false timeout_ms=100 and added 700 e1 told e1-7 outcome=unknown and added ledger {"call": {"request_id": "e1-7.2", "took_effect": true}} | dispatched at most once, non-idempotent at most once | request e1-7 reached a service 2 times |
      | added ledger {"call": {"request_id": "e1-8", "took_effect": true, "idempotency_key": "k", "method": "POST", "path": "/x"}} and added 600 e1 accepted e1-8 idempotent=false timeout_ms=100 and added 700 e1 told e1-8 outcome=unknown | non-idempotent at most once | key k of POST /x reached a service 2 times |

    Examples: shedding
      | damage | promise | breach |
      | removed 1002 a1 suspended e1-1 | no higher tier shed | e2-3 of rank 0 was refused (shed) at 1500 while a1 ran e1-1 |
      | added 1300 a1 resumed e1-1 run_id=e1-1 | no higher tier shed | e2-3 of rank 0 was refused (shed) at 1500 while a1 ran e1-1 |
      | added 1150 e1 accepted e1-3 tier_rank=1 pools=["p"] timeout_ms=90000 is_model=true and added 1160 a2 started e1-3 run_id=e1-3 and added 1800 a2 ended e1-3 run_id=e1-3 outcome=completed and added 1801 e1 told e1-3 outcome=completed | no higher tier shed | e2-3 of rank 0 was refused (shed) at 1500 while a2 ran e1-3 |

    Examples: answers and refusals
      | damage | promise | breach |
      | changed 2001 e1 told e1-1 outcome=completed digest=d2 count=7 | whole own answer | e1-1 was given d2 in 7 parts, its run answered ["('d1', 7)"] |
      | changed 2001 e1 told e1-1 outcome=completed digest=d1 count=6 | whole own answer | e1-1 was given d1 in 6 parts, its run answered ["('d1', 7)"] |
      | changed 301 e2 told e2-1 outcome=refused | not run is true | e2-1 was told not run, but started at ['a2'] |
      | added ledger {"run": {"run_id": "e2-3"}} | not run is true | e2-3 was told not run, but reached an upstream |

    Examples: leaving, stopping, configuration
      | damage | promise | breach |
      | added 6100 e2 accepted e2-4 tier_rank=1 timeout_ms=1 and added 6200 a2 started e2-4 run_id=e2-4 and added 6300 a2 ended e2-4 run_id=e2-4 outcome=failed and added 6301 e2 told e2-4 outcome=failed | no new work when leaving | a2 left at 4000, but started e2-4 at 6200 |
      | changed 9000 a2 process_stopped - abandoned=2 | graceful stop cuts nothing | a2 abandoned 2 |
      | added 3990 e2 accepted e2-4 tier_rank=1 timeout_ms=1 and added 3995 a2 started e2-4 run_id=e2-4 and added 9301 e2 told e2-4 outcome=unknown | graceful stop cuts nothing | a2 stopped while e2-4 ran |
      | added 9400 e1 generation - generation=1 snapshot_hash=h1 | configuration spreads forward | e1 went back from 2 to 1 |
      | changed 3500 e2 generation - generation=2 snapshot_hash=h3 | configuration spreads forward | generation 2 has two contents |
      | removed 3500 e2 generation - generation=2 | configuration spreads forward | e2 had no generation 2 by 11100 |

  Scenario Outline: Allowed behaviour is not reported
    When the trace is changed by <change>
    And the trace is audited
    Then the audit finds no breach and has <count> requests

    Examples:
      | change | count |
      | removed 1002 a1 suspended e1-1 and added 1100 a1 skipped e2-3 reason=too_late | 4 |
      | changed 0 a1 process_started - role=agent and removed 1002 a1 suspended e1-1 | 4 |
      | added 14900 e2 accepted e2-9 timeout_ms=9000 | 5 |
      | added 5500 a2 started e2-9 run_id=e2-9 and added 5600 a2 ended e2-9 run_id=e2-9 and added 5400 e2 accepted e2-9 timeout_ms=10 and added 5700 e2 told e2-9 outcome=failed | 5 |

  Scenario: A log line in a trace is skipped and the report has a line for each promise
    When the trace is changed by lost line 5 of e1
    And the trace is audited
    Then the audit report has the line "trace whole: BREACHED, 40 checked, 1 breaches"
    And the audit report has the line "not run is true: kept, 1 checked, 0 breaches"
