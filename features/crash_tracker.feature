Feature: A crash of an upstream is noticed, and only a crash

  # Guards against a crash that isn't counted, as the gateway has no more
  # requests for its upstream or has paused it.
  Scenario Outline: After a broken answer the upstream is checked: <found>
    Given a gateway with two upstreams of each service
    When an upstream breaks off a request
    And it is found to <found>
    Then <crashes> crashes are counted

    Examples:
      | found | crashes |
      | refuse connections | 1 |
      | accept connections | 0 |
      | be out of reach | 0 |
      | accept connections, and 5 s later to refuse them | 0 |
      | accept connections, and 0.5 s later to refuse them | 1 |
      | accept connections, and 0.5 s later to accept connections | 0 |

  Scenario: An upstream that accepts connections 0.5 s after a break is checked no more
    Given a gateway with two upstreams of each service
    When an upstream breaks off a request
    And it is found to accept connections, and 0.5 s later to accept connections
    And 5 s pass at that gateway
    Then it was checked 2 times

  Scenario: An upstream that breaks off many requests is checked once
    Given a gateway with two upstreams of each service
    When an upstream breaks off 3 requests at once
    And it is found to refuse connections
    Then it was checked 1 time
    And 1 crash of 3 requests is counted

  # Guards against an answer from before the crash that is taken for a sign of
  # life.
  Scenario Outline: An answer that arrives after a break: its connection was made <when> it
    Given a gateway with two upstreams of each service
    When an upstream breaks off a request, and answers another one that was sent <when> it
    And it is found to refuse connections
    Then <crashes> crashes are counted

    Examples:
      | when | crashes |
      | before | 1 |
      | after | 0 |

  # Guards against a cut network, or a full queue of connections, that is taken
  # for a crash by the next request.
  Scenario Outline: After a broken answer the connection of the next request <ends>
    Given a gateway with two upstreams of each service
    When an upstream breaks off a request
    And the connection of the next request <ends>
    Then <crashes> crashes are counted
    And the next request's attempt ended with reason "<reason>"

    Examples:
      | ends | crashes | reason |
      | is refused | 1 | not_connected |
      | times out | 0 | not_reached |
      | has no route | 0 | not_reached |

  # The same for a stream that goes on, before which its upstream is asked.
  Scenario Outline: After a broken answer the next request is not sent: <reason>
    Given a gateway with two upstreams of each service
    When an upstream breaks off a request
    And the next request is not sent, for the reason "<reason>"
    Then <crashes> crashes are counted

    Examples:
      | reason | crashes |
      | not_connected | 1 |
      | upstream_replaced | 1 |
      | not_reached | 0 |
      | no_report | 0 |
      | malformed_request | 0 |

  # Guards against a cut network that is taken for a crash.
  Scenario Outline: A connection that <ends> proves <proof>
    When a connection to an upstream that is checked <ends>
    Then the check proves <proof>

    Examples:
      | ends | proof |
      | is made | that it accepts |
      | is refused | that it refuses |
      | times out | nothing |
      | has no route | nothing |
