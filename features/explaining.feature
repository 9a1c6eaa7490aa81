Feature: A failed request is explained from logs alone

  A wrong or missing cause sends operators after the wrong fault. The causes
  are checked on logs of real processes and on written logs, as are the
  breaches that the audit of logs must find.

  Scenario Outline: The cause of a failure is found in the log of a real process: <case>
    Given a stand-in Lakeshore platform with a configuration
    And an entry on it that is ready
    When <case>
    And the entry is stopped and its log is saved
    Then the explain command for "<request>" prints "<cause>"
    And the audit of the log finds no breach

    Examples:
      | case | request | cause |
      | more streams arrive than the runners can take | full | refused, nothing ran: overload |
      | a runner aborts a stream | cut | the answer was cut off: i-model-0 broke it off |
      | the answer to a non-idempotent call is lost | lost | its end is unknown: i-desk-0 broke it off |
      | a key of no team is used | nobody | refused, nothing ran: its key is not one of the configuration |

  Scenario: An explanation gives evidence for the cause
    Given the log of "edge-1"
      | ms | event | fields |
      | 0 | GL1001 | |
      | 10 | GL1204 | request=r1 route=post upstream=u1 waited_ms=3 running=1 allowed=4 |
      | 11 | GL1204 | request=r2 route=post upstream=u1 waited_ms=3 running=2 allowed=4 |
      | 50 | GL1301 | request=r1 upstream=u1 reason=connection_reset result=broken |
      | 50 | GL1301 | request=r2 upstream=u1 reason=connection_reset result=broken |
      | 51 | GL1201 | request=r1 status=502 reason=connection_reset runs=1 upstream=u1 may_repeat=false |
      | 51 | GL1201 | request=r2 status=502 reason=connection_reset runs=1 upstream=u1 may_repeat=false |
    When "r1" is explained
    Then the cause is "its end is unknown: u1 broke it off (connection_reset)"
    And the evidence has "as 1 other requests of it within a second"
    And the evidence has "may not be repeated"

  Scenario: A stream that was cut because nothing marks its end is explained so
    Given the log of "edge-1"
      | ms | event | fields |
      | 0 | GL1001 | |
      | 10 | GL1204 | request=r1 route=draft upstream=u1 waited_ms=3 running=1 allowed=4 |
      | 50 | GL1206 | request=r1 outcome=cut reason=end_unknown upstream=u1 may_repeat=false no_retry=not_repeatable |
    When "r1" is explained
    Then the cause is "the answer was cut off: u1 closed the connection, and nothing in the stream marks its end"
    And the evidence has "not_repeatable"

  Scenario Outline: A request without a logged end: <how>
    Given the log of "edge-1"
      | ms | event | fields |
      | 0 | GL1001 | |
      | 10 | GL1204 | request=r1 route=post upstream=u1 waited_ms=3 running=1 allowed=4 |
      | 20 | <event> | |
    When "r1" is explained
    Then the cause is "<cause>"

    Examples:
      | how | event | cause |
      | killed | GL1001 | its end is unknown: the process was killed or lost power |
      | stopped | GL1002 | no end was logged before the process stopped |
      | running | GL1401 | no end was logged: it still runs, or lines were dropped |

  Scenario Outline: A request with a logged end: <outcome>
    Given the log of "edge-1"
      | ms | event | fields |
      | 10 | GL1204 | request=r1 route=post upstream=u1 waited_ms=3 running=1 allowed=4 |
      | 20 | <event> | request=r1 outcome=<outcome> reason=<reason> upstream=u1 attempts=1 target_ms=400 <more> |
    When "r1" is explained
    Then the cause is "<cause>"

    Examples:
      | event | outcome | reason | more | cause |
      | GL1206 | failed | upstream_status_500 | | u1 answered with a failure (upstream_status_500), which was passed on |
      | GL1205 | completed | - | first_ms=20 | answered on time: 20 of 400 ms |
      | GL1205 | completed | - | first_ms=900 | answered late: 900 ms, 400 ms were the target |
      | GL1205 | completed | - | | answered without data |
      | GL1205 | caller_left | answering | first_ms=20 | its caller left before the end |

  Scenario: The store's failure explains a refusal for an unproven configuration
    Given the log of "edge-1"
      | ms | event | fields |
      | 100 | GL1505 | reason=timeout loop=configuration |
      | 5100 | GL1201 | request=r1 status=503 reason=configuration_unproven proof_age_ms=5020 |
    When "r1" is explained
    Then the cause is "refused, nothing ran: the configuration was last proved 5020 ms before"
    And the evidence has "the store failed 5000 ms before: timeout"

  Scenario Outline: The audit of logs finds a breach of "<promise>"
    Given the log of "edge-1"
      | ms | event | fields |
      | 0 | GL1001 | |
      | 5 | GL1401 | version=3 |
      | 10 | GL1204 | request=r1 upstream=u1 |
      | <ms> | <event> | <fields> |
      | 90 | <then> | <more> |
      | 99 | GL1002 | |
    When the log is audited
    Then only "<promise>" is breached

    Examples:
      | promise | ms | event | fields | then | more |
      | - | 20 | GL1301 | request=r1 upstream=u1 result=not_run | GL1201 | request=r1 status=503 reason=x |
      | not run is true | 20 | GL1301 | request=r1 upstream=u1 result=broken | GL1201 | request=r1 status=503 reason=x |
      | not run is true | 20 | GL1201 | request=r1 status=503 reason=x | GL1210 | request=r1 unsent_bytes=3 |
      | - | 20 | GL1211 | request=r2 missing=body | GL1205 | request=r1 may_repeat=true |
      | non-idempotent at most once | 20 | GL1204 | request=r1 upstream=u2 | GL1205 | request=r1 may_repeat=false |
      | - | 20 | GL1204 | request=r1 upstream=u2 | GL1205 | request=r1 may_repeat=true |
      | one end for each request | 20 | GL1401 | version=4 | GL1401 | version=5 |
      | - | 20 | GL1401 | version=4 | GL1401 | version=5 dropped=3 |
      | one end for each request | 20 | GL1205 | request=r1 may_repeat=true | GL1205 | request=r1 may_repeat=true |
      | configuration spreads forward | 20 | GL1401 | version=2 | GL1205 | request=r1 |
      | no internal error | 20 | GL1009 | traceback=x | GL1205 | request=r1 |

  # Guards against cuts of a planned stop that are blamed on an upstream.
  Scenario Outline: A request of a planned stop is explained by the stop: <end>
    Given the log of "edge-1"
      | ms | event | fields |
      | 10 | GL1204 | request=r1 route=post upstream=u1 waited_ms=3 running=1 allowed=4 |
      | 7010 | <event> | request=r1 reason=<reason> upstream=u1 stopping_ms=7000 <more> |
    When "r1" is explained
    Then the cause is "<cause>"
    And the evidence has "<evidence>"

    Examples:
      | end | event | reason | more | cause | evidence |
      | cut at its limit | GL1206 | leaving | outcome=cut upstream_ended=false state=answering | the answer was cut off: at the limit of a planned stop, 7000 ms after the signal | u1 had not ended its answer |
      | silent before | GL1206 | leaving | outcome=cut upstream_ended=false upstream_silent_ms=900 | the answer was cut off: at the limit of a planned stop, 7000 ms after the signal | u1 sent last 900 ms before |
      | cut while it waits again | GL1206 | leaving | outcome=cut upstream_ended=true state=waiting | the answer was cut off: at the limit of a planned stop, 7000 ms after the signal | it waited for another attempt after u1 |
      | cut for a slow caller | GL1206 | leaving | outcome=cut unsent_bytes=300 | the answer was cut off: at the limit of a planned stop, 7000 ms after the signal | its caller had not read 300 bytes |
      | not answered at its limit | GL1201 | leaving | runs=1 status=504 | its end is unknown: at the limit of a planned stop, 7000 ms after the signal | u1 had not ended its answer |
      | refused | GL1201 | leaving | status=503 | refused, nothing ran: the process was told to end | stopping for 7000 ms |
      | broken off by its upstream | GL1206 | connection_reset | outcome=cut | the answer was cut off: u1 broke it off (connection_reset) | stopping for 7000 ms |
      | out of time | GL1206 | timeout | outcome=cut | the answer was cut off: its time limit was over while it ran on u1 | stopping for 7000 ms |

  Scenario Outline: What the process had not sent or read at its end is explained: <event>
    Given the log of "edge-1"
      | ms | event | fields |
      | 10 | GL1205 | request=r1 outcome=completed |
      | 7010 | <event> | <fields> stopping_ms=7400 |
      | 7011 | GL1002 | |
    When "<request>" is explained
    Then the cause is "<cause>"

    Examples:
      | event | request | fields | cause |
      | GL1210 | r1 | request=r1 unsent_bytes=300 | answered, but the process ended with 300 bytes that its caller had not read, 7400 ms after the signal |
      | GL1211 | r2 | request=r2 missing=body | not answered, nothing ran: a part of its body was missing when the process ended, 7400 ms after the signal |

  # Guards against failures without a cause where GL1204 was left out.
  Scenario: A cut is explained by its one line
    Given a gateway that reads what its upstreams send
    When a caller requests "draft"
    And its upstream has sent two events
    And the gateway gets SIGTERM
    And 500 ms later the stop has no time left
    And "a" is explained from GL1206 alone
    Then the cause is "the answer was cut off: at the limit of a planned stop, 500 ms after the signal"
    And the evidence has "u2 had not ended its answer"
    And the evidence has "it was sent to u2 (version '') 500 ms before, after it had waited 0 ms"

  Scenario: The cut at the limit of a real process's stop is explained
    Given a stand-in Lakeshore platform with a configuration
    And an entry on it that is ready
    When a stream of 400 events is under way
    And the entry gets SIGTERM
    And its log is saved once it has ended
    Then the explain command for "s1" prints "the answer was cut off: at the limit of a planned stop, "
    And the audit of the log finds no breach

  # Guards against a roll-out of which nobody can tell why it ended.
  Scenario: A roll-out is explained from the logs of gateways
    Given the log of "edge-1"
      | ms | event | fields |
      | 0 | GL1321 | service=s order=7 to=v2 former=["v1"] phase=judging reason=ordered decider=g2 |
      | 900 | GL1324 | service=s order=7 to=v2 phase=judging sent=90 sent_to_new=6 decider=g2 answers=5 failed=0 |
      | 2000 | GL1323 | service=s order=7 to=v2 phase=judging reason=failed sent=200 sent_to_new=16 decider=g1 answers=15 failed=6 former_answers=170 former_failed=1 evidence=1.1 strongest=failed |
      | 2100 | GL1321 | service=s order=7 to=v2 former=["v1"] phase=rolled_back reason=failed decider=g1 |
    When roll-outs are explained
    Then the text has
      | line |
      | s: v1 to v2, order 7 |
      | state: rolled_back since 2.1 s |
      | decided by: g1 since 2.0 s |
      | sent to v2: 16 of 200 requests (8.0%) |
      | for it: 15 answers, 6 failed; former versions: 170, 1 failed |
      | against it: failed (evidence 1.1, 1 suffices) |
