Feature: The soak test checks the promises from what callers and runners saw

  # A check that misses a breach makes the soak test pass on broken programs;
  # each check is therefore run on histories with and without a breach.

  Scenario Outline: A plan depends only on its seed: <seed>
    When the plans of seed <seed> are drawn twice
    Then they are equal, in order of time, and end with a time without faults

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |

  Scenario: The plans of 20 seeds contain every kind of fault
    Then the plans of seeds 1 to 20 together contain every kind

  Scenario: The plans of 20 seeds kill gateways together and signal drains
    Then in the plans of seeds 1 to 20 each "kill_all" kills all gateways 0 ms apart
    And in the plans of seeds 1 to 20 each "kill_series" kills all gateways 500 ms apart
    And in the plans of seeds 1 to 20 each drain gets its further signals after 1 to 3000 ms

  # Guards against plans in which unframed answers and planned stops don't meet.
  Scenario: The plans of 20 seeds leave out framing for long and stop gateways
    Then each plan of seeds 1 to 20 has unframed answers for long
    And in the plans of seeds 1 to 20 each "stop_all" stops the gateways at once
    And in the plans of seeds 1 to 20 each "stop_in_turn" stops the gateways in turn
    And in the plans of seeds 1 to 20 each "stop_started" stops the gateways again soon after their start

  Scenario: A plan of restarts only is what the whole plan has of them
    Then the plans of seeds 1 to 20 with restarts only have the restarts of the whole ones

  Scenario: A further signal while a gateway drains excuses nothing by itself
    When "terminate_twice", "hang_up_again" and "terminate_again" are injected into a gateway
    Then one fault with 2 further signals is recorded

  Scenario Outline: A breach is reported: <promise>, <how>
    Given the history of a soak test
      | what | fields |
      | request | id=a route=post key=key-large entry=entry-0 sent=1000 ended=1050 status=200 body=own |
      | run | id=a runner=i-desk-0 at=1010 ended=1040 team=large path=/post/x |
      | <what> | <fields> |
      | <also> | <more> |
    When the history is checked
    Then only the promise "<promise>" is reported as broken

    Examples:
      | promise | how | what | fields | also | more |
      | - | nothing | request | id=b route=lookup key=key-large entry=entry-0 sent=1 ended=2 status=503 | run | id=b runner=i-desk-0 at=2 ended=3 team=large path=/lookup/x |
      | TWICE | ran again | run | id=a runner=i-desk-1 at=1020 ended=1030 team=large path=/post/x | - | |
      | REFUSED | 503 and ran | request | id=b route=post key=key-large entry=entry-0 sent=1 ended=9 status=503 | run | id=b runner=i-desk-0 at=2 ended=3 team=large path=/post/x |
      | MIXED | foreign body | request | id=b route=lookup key=key-large entry=entry-0 sent=1 ended=9 status=200 body=other | - | |
      | MIXED | too short but whole | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | - | |
      | - | closed after event 1, no length or chunks | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=1 |
      | MIXED | closed after event 2, ends after event 1 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=2 |
      | MIXED | closed after event 1, ends after event 2 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=second | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=1 |
      | MIXED | closed after event 1, ends inside event 1 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=half | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=1 |
      | MIXED | closed before event 1 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=none | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=0 |
      | MIXED | framed, ends after event 1 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x |
      | MIXED | process died after event 1 | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x broke=yes |
      | MIXED | closed after event 1, then run elsewhere | request | id=b route=stream key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first | two runs | id=b runner=i-model-0 at=2 ended=8 team=large path=/stream/x closed=1 |
      | - | cut, and said so | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=first whole=no | - | |
      | UNASKED | nobody's | run | id=z runner=i-desk-0 at=2 ended=3 team=large path=/post/x | - | |
      | UNASKED | other team | request | id=b route=lookup key=key-small entry=entry-0 sent=1 ended=9 status=200 body=own | run | id=b runner=i-desk-0 at=2 ended=3 team=large path=/lookup/x |
      | UNASKED | key passed on | request | id=b route=lookup key=key-small entry=entry-0 sent=1 ended=9 status=200 body=own | run | id=b runner=i-desk-0 at=2 ended=3 team=small path=/lookup/x key=k |
      | DENIED | 404 | request | id=b route=lookup key=key-small entry=entry-0 sent=1 ended=9 status=404 | - | |
      | CONFIG | key withdrawn | fault | kind=withdraw_key target=configuration start=0 end=9000 | late | id=b route=lookup key=key-guest team=guest sent=5200 |
      | - | key just withdrawn | fault | kind=withdraw_key target=configuration start=0 end=9000 | late | id=b route=lookup key=key-guest team=guest sent=4900 |
      | CONFIG | route withdrawn | fault | kind=withdraw_route target=configuration start=0 end=9000 | late | id=b route=extra key=key-large team=large sent=3200 |
      | DRAIN | drained | fault | kind=drain target=i-desk-0 start=0 end=9000 | late | id=b route=lookup key=key-large team=large sent=3600 |
      | - | drained lately | fault | kind=drain target=i-desk-0 start=0 end=9000 | late | id=b route=lookup key=key-large team=large sent=3200 |
      | LOST | SIGTERM | fault | kind=terminate target=entry-1 start=8000 end=15000 | cut | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | - | SIGTERM beside a reset | fault | kind=terminate target=entry-1 start=8000 end=15000 | cut and reset | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | LOST | SIGTERM twice | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 | cut | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | - | SIGTERM twice beside a reset | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 | cut and reset | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | LOST | SIGTERM beside faults of others | fault | kind=terminate target=entry-1 start=8000 end=15000 | cut beside others | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | - | killed 300 ms after SIGTERM beside faults of others | fault | kind=terminate target=entry-1 start=8000 end=8300 | cut beside others | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | LOST | SIGTERM, held beside a reset | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 | cut while held | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | - | SIGTERM beside a pause of the gateway | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 | cut in gateway fault | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | LOST | accepted after SIGTERM, cut at the second | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 again=9200 | cut | id=b route=post key=key-large team=large sent=9100 entry=entry-1 |
      | LOST | accepted after the only SIGTERM | fault | kind=terminate_twice target=entry-1 start=8000 end=15000 | cut | id=b route=post key=key-large team=large sent=9100 entry=entry-1 |
      | - | sent 7.3 s after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=16000 | cut at | id=b entry=entry-1 sent=15300 worked=15500 ended=15500 |
      | LOST | sent 6.9 s after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=16000 | cut at | id=b entry=entry-1 sent=14900 worked=15100 ended=15100 |
      | LOST | whole and unframed, cut in a stop | fault | kind=stop_in_turn target=entry-1 start=8000 end=15000 | cut unframed | id=b entry=entry-1 sent=7900 worked=9900 ended=9950 closed=100 |
      | LOST | whole and unframed, cut in a stop after a start | fault | kind=stop_started target=entry-1 start=8000 end=15000 | cut unframed | id=b entry=entry-1 sent=8900 worked=9900 ended=9950 closed=100 |
      | - | unframed and broken off in a stop | fault | kind=stop_in_turn target=entry-1 start=8000 end=15000 | cut unframed | id=b entry=entry-1 sent=7900 worked=9900 ended=9950 closed=50 broke=yes |
      | LOST | broken off, then run elsewhere, cut in a stop | fault | kind=stop_in_turn target=entry-1 start=8000 end=15000 | cut in second run | id=b entry=entry-1 sent=7900 worked=9900 ended=9950 broke=yes |
      | LOST | runner at work until 4.9 s after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=15000 | cut at | id=b entry=entry-1 sent=10900 worked=12900 ended=13400 |
      | - | runner at work until 5 s after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=15000 | cut at | id=b entry=entry-1 sent=10900 worked=13000 ended=13400 |
      | LOST | the same, sent 3.1 s after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=15000 | cut at | id=b entry=entry-1 sent=11100 worked=13400 ended=13400 |
      | LOST | 5.9 s of 6 were over | fault | kind=stop_all target=entry-1 start=8000 end=15000 | cut at | id=b entry=entry-1 sent=6000 worked=11900 ended=11900 |
      | - | its time was over | fault | kind=stop_all target=entry-1 start=8000 end=15000 | cut at | id=b entry=entry-1 sent=6000 worked=12000 ended=12000 |
      | LOST | SIGHUP | fault | kind=reload target=entry-1 start=8000 end=8000 | cut at | id=b entry=entry-1 sent=10900 worked=11200 ended=11200 |
      | - | sent 3.3 s after SIGHUP | fault | kind=reload target=entry-1 start=8000 end=8000 | cut at | id=b entry=entry-1 sent=11300 worked=11500 ended=11500 |
      | - | ended before SIGHUP | fault | kind=reload target=entry-1 start=8000 end=8000 | cut at | id=b entry=entry-1 sent=7800 worked=7900 ended=7900 |
      | - | sent to a process that was started after SIGTERM | fault | kind=stop_all target=entry-1 start=8000 end=16000 | cut beside a restart | id=b entry=entry-1 sent=11000 worked=11500 ended=11500 |
      | LOST | sent before another restart | fault | kind=stop_all target=entry-1 start=8000 end=16000 | cut beside a restart | id=b entry=entry-1 sent=9000 worked=9500 ended=9500 |
      | - | killed before its time by the soak test | fault | kind=terminate target=entry-1 start=8000 end=10000 | cut at | id=b entry=entry-1 sent=7900 worked=10000 ended=10000 |
      | LOST | 300 ms before such a kill | fault | kind=terminate target=entry-1 start=8000 end=10000 | cut at | id=b entry=entry-1 sent=7900 worked=9700 ended=9700 |
      | - | killed with all others | fault | kind=kill_all target=entry-1 start=8000 end=15000 | cut | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | - | killed in a series | fault | kind=kill_series target=entry-1 start=8000 end=15000 | cut | id=b route=post key=key-large team=large sent=7900 entry=entry-1 |
      | QUOTA | 300 runs | many | route=lookup key=key-small team=small count=300 | - | |
      | - | 200 runs | many | route=lookup key=key-small team=small count=200 | - | |
      | BUDGET | 60 repeats | repeats | count=60 | - | |
      | - | 25 repeats | repeats | count=25 | - | |
      | DRAIN | said that it leaves | leaving | at=100 born=1 | late | id=b route=lookup key=key-large team=large sent=3300 born=1 |
      | - | said so lately | leaving | at=100 born=1 | late | id=b route=lookup key=key-large team=large sent=3000 born=1 |
      | - | said so in an earlier life | leaving | at=100 born=1 | late | id=b route=lookup key=key-large team=large sent=3300 born=2 |
      | BUDGET | 3 in a pause | pause | at=100 pause=2000 | late in pause | count=3 sent=700 |
      | - | 2 in a pause | pause | at=100 pause=2000 | late in pause | count=2 sent=700 |
      | - | 3 just after it was asked for | pause | at=100 pause=2000 | late in pause | count=3 sent=400 |
      | LIMIT | 24 in 4 s at 3 a second | limited | count=60 gap=150 per_s=3 | - | |
      | - | 23 in 4 s at 3 a second | limited | count=50 gap=180 per_s=3 | - | |
      | - | 24 in 4 s just after it was named | limited | count=20 gap=150 per_s=3 | - | |
      | - | 24 in 4 s after a fault | limited | count=50 gap=150 per_s=3 | fault | kind=pause target=entry-0 start=100 end=4400 |
      | - | 24 in 4 s after a kill in a series | limited | count=50 gap=150 per_s=3 | fault | kind=kill_series target=entry-0 start=100 end=4400 |
      | LIMIT | 24 in 4 s after another's kill | limited | count=60 gap=150 per_s=3 | fault | kind=kill_series target=entry-1 start=100 end=4400 |
      | QUOTA | 300 runs after a kill of all | many | route=lookup key=key-small team=small count=300 | fault | kind=kill_all target=entry-0 start=100 end=400 |
      | BUDGET | 4 after the fifth crash of a part and 4 s | crashes | count=13 gap=1000 | - | |
      | - | 3 after the fifth crash of a part and 4 s | crashes | count=12 gap=1000 | - | |
      | - | 4 after a fault | crashes | count=13 gap=1000 | fault | kind=pause target=entry-0 start=100 end=9400 |
      | HELD | 8 late | held | count=8 | - | |
      | - | 7 late | held | count=7 | - | |
      | GONE | 5 of 5 | disconnected | count=5 ran_on=900 | - | |
      | - | 5 of 5 in time | disconnected | count=5 ran_on=300 | - | |
      | ORDER | 3 streams joined from two versions | joined | count=3 version=v2 | - | |
      | - | 2 streams joined from two versions | joined | count=2 version=v2 | - | |
      | - | 3 streams at their own version | joined | count=3 version=v1 | - | |
      | RECOVER | nothing served | fault | kind=reset target=i-desk-0 start=0 end=0 | unserved | count=10 sent=9000 |
      | OWN END | one | ended | name=entry-0 | - | |

  # Guards against a count of allowed short streams that hides others.
  Scenario Outline: The figures count short streams whose end nothing marked: <what>
    Given the history of a soak test
      | what | fields |
      | request | id=b route=once key=key-large events=3 entry=entry-0 sent=1 ended=9 status=200 body=<body> |
      | run | id=b runner=i-model-0 at=2 ended=8 team=large path=/once/x closed=<closed> |
    When the figures of the soak test are reported
    Then the figure "short_unmarked" is <count>

    Examples:
      | what | body | closed | count |
      | short | first | 1 | 1 |
      | closed later | first | 2 | 0 |
      | whole | own | 3 | 0 |

  Scenario Outline: The figures tell why requests were refused as not run: <what>
    Given requests that were answered
      | status | body |
      | <status> | <body> |
      | 503 | {"error": {"reason": "leaving"}} |
    Then the reasons of refusals are "<reasons>"

    Examples:
      | what | status | body | reasons |
      | two reasons | 503 | {"error": {"reason": "crowded_out"}} | crowded_out 1, leaving 1 |
      | one reason | 503 | {"error": {"reason": "leaving"}} | leaving 2 |
      | an answer | 200 | {"error": {"reason": "crowded_out"}} | leaving 1 |
      | may have run | 502 | {"error": {"reason": "crowded_out"}} | leaving 1 |
      | cut off | 503 | {"error": | leaving 1, unreadable 1 |
      | not the gateway's | 503 | [] | leaving 1, unreadable 1 |

  # Seed 7001: a gateway was killed between the head and the body of an answer.
  Scenario Outline: A caller takes a response of <sent> of <length> bytes for <judged>
    When a caller reads <sent> bytes of a response of <length> bytes
    Then the response counts as <judged>

    Examples:
      | sent | length | judged |
      | 0 | 10 | cut |
      | 9 | 10 | cut |
      | 10 | 10 | whole |
      | 0 | 0 | whole |

  # One chunk is sent in each mode; then the relay forwards everything for 2 s.
  # A chunk without delay could pass one that was delayed or held before.
  Scenario Outline: A relay keeps the order of bytes: <modes>
    When a chunk is sent through a relay in each of the modes "<modes>" and then in mode pass
    Then all chunks arrive in order

    Examples:
      | modes |
      | pass,pass |
      | delay,pass |
      | delay,silent,pass |
      | silent,delay,pass |
      | deaf,delay,silent,pass |

  # Seed 6103: SIGHUP 78 ms after the start of an entry, on a busy machine.
  Scenario Outline: A program that <signal> ends is <judged> if it <what>
    Given a program of the soak test that <what>
    When it gets <signal>
    Then its end is <judged>

    Examples:
      | signal | what | judged |
      | SIGHUP | has not started to log | expected |
      | SIGHUP | has logged | unexpected |
      | SIGTERM | has not started to log | expected |
      | SIGTERM | has logged | unexpected |
      | SIGKILL | has logged | expected |

  # Seed 7004: 127.0.0.11:35179 was taken between its choice and the start.
  Scenario: No connection takes the port of a program that is down
    When 200 free ports are chosen
    Then none is one that connections get

  Scenario: The real programs keep every promise under seeded faults
    When a soak test of seed 7 runs for 20 s
    Then it reports no breach and at least 500 successful requests

  # Guards against whole unframed answers that are cut at planned stops
  # (issue 54), and against a soak test in which the two don't meet.
  Scenario: No whole unframed answer is lost at planned stops
    When a soak test of seed 9078 with restarts only runs for 40 s
    Then it reports no breach and at least 1 whole unframed answers at stops

  Scenario: A soak test keeps what is needed to trace a failure
    When a soak test of seed 0 runs for 3 s and keeps its logs
    Then the logs of 3 gateways and the history are there

  Scenario Outline: A fault of the runners is reported by the soak test: <promise>
    When a soak test of seed 0 runs for 5 s with the runner options <mistake>
    Then it reports "<promise>"

    Examples:
      | promise | mistake |
      | TWICE | {"runs_twice": true} |
      | REFUSED | {"denies_runs": 100000} |
      | MIXED | {"answers_wrong": 100000} |
