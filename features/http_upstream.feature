Feature: What an agent makes of a failed connection to its upstream

  Scenario Outline: The connection fails with <error>
    Given an HTTP upstream with a run that waits for its connection
    When the connection to the upstream fails with <error>
    Then the run ends as "never_started" for "upstream_unreachable"

    Examples:
      | error |
      | ConnectionRefusedError |
      | NoRouteError |
      | TimeoutError |

  Scenario: The connection is lost before an answer
    Given an HTTP upstream with a run that waits for its connection
    When the upstream takes the request and drops the connection
    Then the run ends as "crashed" for "connection_lost"
