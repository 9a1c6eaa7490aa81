Feature: What callers have given up is not sent on

  # Guards against a close that waits to be read while the gateway is busy: the
  # request of a caller that has gone is sent all the same.
  Scenario Outline: A request is not sent once its caller's close has arrived: <when>
    Given a gateway with two upstreams of each service
    When a caller closes <when> of its "<route>"
    And 100 ms pass at the gateway
    Then no upstream gets its request
    And its request neither waits nor runs

    Examples:
      | route | when |
      | query | right after the last byte |
      | post | right after the last byte |
      | query | during the wait for an upstream |
      | post | during the wait for an upstream |
      | lookup | before the next attempt |
      | query | while the upstream is connected |

  Scenario: A caller that is still there gets its answer
    Given a gateway with two upstreams of each service
    When a caller with a socket requests "post"
    And the upstream that runs it answers successfully
    Then the caller receives status 200

  Scenario: An attempt that is given up while it connects sends nothing
    Then an attempt that is cancelled before it sends has sent nothing
