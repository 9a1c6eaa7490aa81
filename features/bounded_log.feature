Feature: A daemon's log has a rate limit and never blocks

  Guards against a daemon that stalls or uses up its memory because it logs
  faster than its log can be read, or because the reader has stopped.

  Scenario: Lines above the limit are dropped and counted
    Given a bounded log with a reader
    When 1000 lines are written within a second
    Then 800 lines arrive
    When a second passes and one more line is written
    Then it reports 200 dropped lines

  Scenario: Lines of successes leave part of the limit for refusals and failures
    Given a bounded log with a reader
    When 1000 lines of GL1205 are written within a second
    And 1000 lines of GL1201 are written within a second
    Then 400 lines of GL1205 and 400 of GL1201 arrive

  Scenario: A stopped reader doesn't block the daemon
    Given a bounded log without a reader
    When lines of 1000 bytes are written for 20 s at the rate limit
    Then writing took under 5 s
    When the log is read to its end and one more line is written
    Then every received line is complete
    And the log reports how many lines were dropped

  # Guards against lines of failures that are left out, or of which nothing
  # tells that they were, among lines of refusals and successes.
  Scenario Outline: Successes and refusals by the thousand leave room for failures: <failure>
    Given a bounded log with a reader
    When 1000 lines of GL1205 are written within a second
    And 1000 lines of GL1201 are written within a second
    And 400 lines of <failure> are written within a second
    And 1000 lines of <failure> are written within a second
    Then 400 lines of GL1205 and 400 of GL1201 arrive, and 400 of failures
    When a second passes and one more line is written
    Then the log tells of dropped lines: 600 sampled, 600 normal, 1000 essential

    Examples:
      | failure |
      | GL1206 |
      | GL1201 with runs=1 |
      | GL1002 |

  Scenario: Failures alone may use the limit of all lines, and their reserve
    Given a bounded log with a reader
    When 2000 lines of GL1206 are written within a second
    Then 1200 lines arrive

  Scenario: Lines of successes in a planned stop aren't left out first
    Given a bounded log with a reader
    When 1000 lines of GL1205 with stopping_ms=0 are written within a second
    Then 800 lines arrive

  Scenario Outline: While nobody reads, failures have room that others can't take
    Given a bounded log without a reader
    When 800 lines of 1000 bytes of <other> are written
    And 100 lines of 1000 bytes of GL1206 are written
    And the log is read until nothing is pending
    Then every received line is complete
    And 100 lines of GL1206 are among them
    And the log reports how many lines were dropped

    Examples:
      | other |
      | GL1205 |
      | GL1201 |

  Scenario: While nobody reads, a log of failures has a bound
    Given a bounded log without a reader
    When 800 lines of 1000 bytes of GL1206 are written
    Then at most 262144 bytes are pending

  Scenario: The end of a log tells how many lines were dropped before
    Given a bounded log with a reader
    When 1000 lines of GL1205 are written within a second
    And the log is flushed
    Then its last line is GL1011 with 600 dropped lines
