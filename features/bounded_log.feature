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
