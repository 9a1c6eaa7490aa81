Feature: Failed connections of an agent to its upstream
  Only a failed connection attempt proves that a request did not run. If the
  agent reported any other failure as never_started, the entry would run the
  request again.

  Scenario Outline: A connection attempt fails with <error>
    Given an HTTP upstream with a run that is connecting
    When the connection attempt fails with <error>
    Then the run ends as "never_started" with the reason "upstream_unreachable"

    Examples:
      | error |
      | ConnectionRefusedError |
      | NoRouteError |
      | TimeoutError |

  Scenario: The connection is lost before a response
    Given an HTTP upstream with a run that is connecting
    When the upstream receives the request and closes the connection
    Then the run ends as "crashed" with the reason "connection_lost"
