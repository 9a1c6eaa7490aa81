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
      | non-idempotent at most once | 20 | GL1204 | request=r1 upstream=u2 | GL1205 | request=r1 may_repeat=false |
      | - | 20 | GL1204 | request=r1 upstream=u2 | GL1205 | request=r1 may_repeat=true |
      | one end for each request | 20 | GL1401 | version=4 | GL1401 | version=5 |
      | - | 20 | GL1401 | version=4 | GL1401 | version=5 dropped=3 |
      | one end for each request | 20 | GL1205 | request=r1 may_repeat=true | GL1205 | request=r1 may_repeat=true |
      | configuration spreads forward | 20 | GL1401 | version=2 | GL1205 | request=r1 |
      | no internal error | 20 | GL1009 | traceback=x | GL1205 | request=r1 |
