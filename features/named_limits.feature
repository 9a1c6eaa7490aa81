Feature: Upstreams that name a limit get no more requests than that

  A limit is a number of requests a second, for all gateways together, for as
  long as the answers of the upstream say so.

  # Guards against a limit that is not read, or that each gateway keeps alone.
  Scenario Outline: An engine gets what its limit allows: <gateways> gateways, <engines> engines, <limit> a second
    Given <gateways> gateways before <engines> engines that may name limits
    When requests come each <gap> ms for 3 s
    And engine "u0" names a limit of <limit> a second
    And requests come each <gap> ms for <duration> s
    Then no engine got more than its limit tolerates
    And "u0" got at least <least> requests in the last <last> s

    Examples:
      | gateways | engines | limit | gap | duration | least | last |
      | 1 | 3 | 2.3 | 20 | 20 | 14 | 8 |
      | 4 | 3 | 2.3 | 20 | 20 | 14 | 8 |
      | 4 | 6 | 3.6 | 20 | 20 | 20 | 8 |
      | 4 | 6 | 10 | 20 | 20 | 50 | 8 |
      | 4 | 3 | 0.5 | 20 | 20 | 2 | 8 |
      | 29 | 27 | 3 | 10 | 20 | 12 | 8 |
      | 29 | 27 | 0.5 | 10 | 60 | 2 | 40 |

  # Guards against a limit that outlives the need of its upstream.
  Scenario Outline: A limit ends when an engine <ends>
    Given <gateways> gateways before 3 engines that may name limits
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of 2 a second
    And requests come each 20 ms for 10 s
    And engine "u0" <ends>
    And requests come each 20 ms for 10 s
    Then no engine got more than its limit tolerates
    And "u0" got at least 40 requests in the last 5 s

    Examples:
      | gateways | ends |
      | 1 | no longer names it |
      | 4 | no longer names it |
      | 4 | starts again |
      | 4 | starts again under the same list |

  Scenario Outline: A limit that changes from <first> to <second>
    Given 4 gateways before 3 engines that may name limits
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of <first> a second
    And requests come each 20 ms for 10 s
    And engine "u0" names a limit of <second> a second
    And requests come each 20 ms for 12 s
    Then no engine got more than its limit tolerates
    And "u0" got at least <least> requests in the last 5 s

    Examples:
      | first | second | least |
      | 8 | 1 | 3 |
      | 1 | 8 | 24 |
      | 2 | 0 | 0 |

  # Guards against gateways that don't hear each other and take all of it.
  Scenario Outline: A limit holds while gateways <come and go>
    Given 4 gateways before 3 engines that may name limits
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of 3 a second
    And requests come each 20 ms for 6 s while gateways <come and go>
    And requests come each 20 ms for 10 s
    Then no engine got more than its limit tolerates

    Examples:
      | come and go |
      | restart one after the other |
      | are cut off from each other |
      | lose a third of their datagrams |

  # Guards against requests that fail although other engines take them.
  Scenario: Requests that a limited engine doesn't take go to others
    Given 4 gateways before 6 engines that may name limits
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of 2 a second
    And requests come each 20 ms for 20 s
    Then 0.99 of the requests were served

  # Guards against statements that grow younger each time they are passed on.
  Scenario Outline: A limit that was taken back does not come back by what gateways tell: <way> ms on the way
    Given 4 gateways before 3 engines that may name limits
    And datagrams that take <way> ms
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of 2 a second
    And requests come each 20 ms for 6 s
    And engine "u0" no longer names it
    And requests come each 20 ms for 3 s
    And no requests come for 5 s
    Then no gateway has a limit for "u0", and each changed it at most 4 times

    Examples:
      | way |
      | 2 |
      | 60 |

  Scenario Outline: What an upstream said of its limit ages at all gateways: <way> ms on the way
    Given 4 gateways before 3 engines that may name limits
    And datagrams that take <way> ms
    When requests come each 20 ms for 3 s
    And engine "u0" names a limit of 2 a second
    And requests come each 20 ms for 6 s
    And no requests come for 10 s
    Then what each gateway knows of the limit of "u0" is at least 9 s old

    Examples:
      | way |
      | 2 |
      | 60 |
      | 300 |

  # Guards against a single gateway that sends twice as much as a low limit.
  Scenario Outline: A request may start: <limit> a second, <gateways> gateways, place <place>, idle for <idle> ms, at <wall> ms
    Then a request <may> start with a limit of <limit>, <gateways> gateways, place <place>, idle for <idle> ms, at <wall> ms

    Examples:
      | limit | gateways | place | idle | wall | may |
      | 2 | 1 | 0 | 500 | 0 | may |
      | 2 | 1 | 0 | 499 | 0 | may not |
      | 2 | 4 | 3 | 2000 | 0 | may |
      | 2 | 4 | 3 | 1999 | 0 | may not |
      | 0.25 | 1 | 0 | 4000 | 0 | may |
      | 0.25 | 1 | 0 | 3999 | 0 | may not |
      | 0 | 1 | 0 | 4000 | 0 | may |
      | 1 | 4 | 0 | 9000 | 3999 | may not |
      | 1 | 4 | 0 | 9000 | 4000 | may |
      | 1 | 4 | 1 | 9000 | 4999 | may not |
      | 1 | 4 | 1 | 9000 | 5000 | may |
      | 1 | 4 | 1 | 1999 | 5000 | may not |

  Scenario Outline: The value of Server-Limit: <value>
    Then Server-Limit "<value>" names <limit>, and its error is "<error>"

    Examples:
      | value | limit | error |
      | 2 | 2 | |
      | 2.5 | 2.5 | |
      | 0 | 0 | |
      | 1e2 | 100 | |
      | -1 | none | is negative |
      | nan | none | is not a number |
      | inf | none | is not a number |
      | many | none | is not a number |

  # Guards against a refusal that the logs don't explain.
  Scenario: A request that waited in vain for a limited upstream tells so in its line
    Given a gateway with one upstream of each service, which names a limit of 0 a second to the second of two requests
    When a third request waits for 3 s
    Then it is refused, and its line tells 1 limited upstream

  # Guards against a value that nobody can look up.
  Scenario: A limit that can't be used is logged with its value
    Given a gateway with one upstream of each service, which names a limit of -2 a second to the second of two requests
    Then the value "-2" of the limit is logged as one that is negative

  # Guards against an answer on its way from before that ends a limit.
  Scenario Outline: An answer without a limit, to a request that was sent <when> the limit was named
    Given a gateway with one upstream of each service, which names a limit of 2 a second to the second of two requests
    When <which> is answered without a limit
    Then the upstream has <found>

    Examples:
      | when | which | found |
      | before | the first request | a limit |
      | after | a third request | no limit |
