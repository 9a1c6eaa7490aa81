Feature: A daemon's log is bounded and never blocks

  Scenario: More lines than the bound are counted, not written
    Given a bounded log that is read
    When 1000 lines are written within a second
    Then 800 lines arrive
    When a second passes and one more line is written
    Then it tells that 200 were dropped

  Scenario: What goes well leaves room for refusals and failures
    Given a bounded log that is read
    When 1000 lines of GL1205 are written within a second
    And 1000 lines of GL1201 are written within a second
    Then 400 lines of GL1205 and 400 of GL1201 arrive

  Scenario: A reader that has stopped doesn't stop the daemon
    Given a bounded log that nobody reads
    When lines of 1000 bytes are written for 20 s at the bound
    Then that took under 5 s
    When the log is read to its end and one more line is written
    Then every line that arrived is whole
    And it tells how many were dropped
