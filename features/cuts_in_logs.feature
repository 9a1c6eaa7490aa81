Feature: The log tells why an answer was cut, and whether in a planned stop

  # Guards against lines whose reason is lost where only their beginning is
  # kept, and against cuts of which nobody can tell whether a stop made them.
  Scenario Outline: The first <bytes> bytes of a line tell why an answer was cut: <stop>, <cut>
    Given a gateway that reads what its upstreams send
    When a caller requests "draft"
    And its upstream has sent two events
    And the gateway <stop>
    And 500 ms later <cut>
    Then the first <bytes> bytes of GL1206 hold "<told>"
    And they tell that the gateway has been stopping for <stopping>

    Examples:
      | stop | cut | told | stopping | bytes |
      | gets SIGTERM | its upstream resets the connection | "reason": "connection_reset", "outcome": "cut" | 500 ms | 205 |
      | gets SIGTERM | the stop has no time left | "reason": "leaving", "outcome": "cut" | 500 ms | 205 |
      | goes on | its upstream resets the connection | "reason": "connection_reset", "outcome": "cut" | no time | 205 |

  Scenario: The line of a cut tells how long the upstream had been silent
    Given a gateway that reads what its upstreams send
    When a caller requests "draft"
    And its upstream has sent two events
    And the gateway gets SIGTERM
    And 500 ms later the stop has no time left
    Then GL1206 has upstream_silent_ms 500 and caller_is_slow false

  # Guards against failures that can't be explained as the line of their
  # sending was left out under load.
  Scenario Outline: The line of a failure tells all that GL1204 told: <begun>, <cut>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And its upstream has sent <begun>
    And 500 ms later <cut>
    Then <code> has reason "<reason>", state "<state>" and upstream_ended <ended>
    And it has, 500 ms later, all fields of GL1204

    Examples:
      | route | begun | cut | code | reason | state | ended |
      | draft | two events | its upstream resets the connection | GL1206 | connection_reset | answering | true |
      | draft | nothing yet | its upstream resets the connection | GL1201 | connection_reset | sent | true |
      | draft | two events | the stop has no time left | GL1206 | leaving | answering | false |
      | draft | nothing yet | the stop has no time left | GL1201 | leaving | sent | false |
      | post | nothing yet | the stop has no time left | GL1201 | leaving | sent | false |
      | draft | two events | its caller's time is over | GL1206 | timeout | answering | false |
      | draft | nothing yet | its caller's time is over | GL1201 | timeout | sent | false |

  Scenario: The line of a cut tells that no attempt followed one that broke off
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And its upstream has sent two events
    And no other upstream has room
    And 500 ms later its upstream resets the connection
    And 500 ms later the stop has no time left
    Then GL1206 has reason "leaving", state "waiting" and upstream_ended true

  # Guards against a cut of which nobody can tell how much its caller lacks.
  Scenario: The line of a cut tells what was not sent to the caller
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And its upstream has sent two events and 8 bytes of the third
    And 300 bytes of them are unsent to the caller
    And 500 ms later the stop has no time left
    Then GL1206 has unsent_bytes 300 and unforwarded_bytes 8
