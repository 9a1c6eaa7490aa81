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
