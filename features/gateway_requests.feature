Feature: A gateway runs each request at most once and tells the truth

  # What a caller may hear when an upstream fails, and how often the request
  # was sent; the second upstream always answers well.
  Scenario Outline: <route>, whose first upstream <does>
    Given a gateway before two upstreams of each service
    When a caller asks for "<route>"
    And the upstream <does>
    Then the request was sent to <count> upstreams
    When the upstream that has it answers well
    Then the caller hears <status>

    Examples:
      | route | does | count | status |
      | post | takes no connection | 2 | 200 |
      | post | says that it did not run it | 2 | 200 |
      | post | belongs to another process | 2 | 200 |
      | post | resets the connection | 1 | 502 |
      | post | fails with 500 | 1 | 500 |
      | lookup | takes no connection | 2 | 200 |
      | lookup | resets the connection | 2 | 200 |
      | lookup | fails with 500 | 2 | 200 |
      | draft | resets the connection | 1 | 502 |
      | draft | says that it did not run it | 2 | 200 |
      | query | resets the connection | 2 | 200 |

  Scenario Outline: An answer that can't be trusted isn't passed on: <what>
    Given a gateway before two upstreams of each service
    When a caller asks for "post"
    And the upstream's answer <what>
    Then the caller hears 502
    And nothing of that answer

    Examples:
      | what |
      | bears no seal |
      | bears another request's id |
      | bears no id |
      | is encoded |

  Scenario: A resumed stream has each event once, under the first head
    Given a gateway before two upstreams of each service
    When a caller asks for "query"
    And the upstream sends events 1 to 2 and half of the third, and breaks off
    Then the request was sent to 2 upstreams
    And the second was asked to go on after event 2
    When the second sends events 3 to 4 and ends
    Then the caller has events 1 to 4, once each, and a whole answer

  Scenario Outline: A stream that falls silent: <route>, for <ms> ms
    Given a gateway before two upstreams of each service
    When a caller asks for "<route>"
    And the upstream sends events 1 to 2 and half of the third, and no more
    And <ms> ms pass on the gateway
    Then the request was sent to <count> upstreams

    Examples:
      | route | ms | count |
      | query | 1600 | 2 |
      | query | 1300 | 1 |
      | draft | 1600 | 1 |

  Scenario: A stream that fell silent goes on elsewhere, once
    Given a gateway before two upstreams of each service
    When a caller asks for "query"
    And the upstream sends events 1 to 2 and half of the third, and no more
    And 1600 ms pass on the gateway
    Then the first attempt is cancelled
    And the second was asked to go on after event 2
    When the second sends events 3 to 4 and ends
    Then the caller has events 1 to 4, once each, and a whole answer
    And nothing is left running

  Scenario: A silent stream is left alone when it can't go on elsewhere
    Given a gateway before one engine
    When a caller asks for "query"
    And the upstream sends events 1 to 2 and half of the third, and no more
    And 1600 ms pass on the gateway
    Then its attempt is left running

  Scenario: A stream that may not be resumed is cut visibly
    Given a gateway before two upstreams of each service
    When a caller asks for "draft"
    And the upstream sends events 1 to 2 and half of the third, and breaks off
    Then the request was sent to 1 upstreams
    And the caller's connection ends without the end of the answer

  Scenario Outline: A request whose time is over is answered at once: <state>
    Given a gateway before <before>
    When a caller who has 1000 ms asks for "post"
    And 1100 ms pass on the gateway
    Then the caller hears <status>
    And its attempt is <attempt>

    Examples:
      | state | before | status | attempt |
      | sent | two upstreams of each service | 504 | cancelled |
      | waiting | no upstreams | 503 | never made |

  Scenario: Work ends when its caller leaves
    Given a gateway before two upstreams of each service
    When a caller asks for "draft"
    And the caller leaves
    Then its attempt is cancelled
    And nothing is left running

  Scenario Outline: Without a proof nobody is told 401 or 404: <key> <route>
    Given a gateway before two upstreams of each service
    When 4100 ms pass without a proof of the configuration
    And a caller with key "<key>" asks for "<route>"
    Then the caller hears 503
    And the request was sent to 0 upstreams
    And the gateway isn't ready

    Examples:
      | route | key |
      | post | key |
      | post | stranger |
      | nowhere | key |

  Scenario: A key that is withdrawn while its request waits
    Given a gateway before no upstreams
    When a caller asks for "post"
    And a configuration without its key comes into force, and upstreams
    Then the caller hears 401
    And the request was sent to 0 upstreams

  Scenario: A configuration never goes back
    Given a gateway before two upstreams of each service
    When configuration 5 without keys comes, and then configuration 4 with them
    And a caller asks for "post"
    Then the caller hears 401

  Scenario Outline: What waits is sent in order: <first>, <second>
    Given a gateway before no upstreams
    When callers ask for "<first>" and, 10 ms later, "<second>"
    And one upstream with one slot comes
    Then "<runs>" is sent

    Examples:
      | first | second | runs |
      | class | draft | draft |
      | query | draft | draft |
      | draft | class | draft |

  # Ranks: draft 0, query 1, class 2.
  Scenario Outline: A late <first> and a <second> that can still be on time
    Given a gateway before no upstreams
    When callers ask for "<first>" and, 450 ms later, "<second>"
    And one upstream with one slot comes
    Then "<runs>" is sent

    Examples:
      | first | second | runs |
      | draft | query | query |
      | draft | class | draft |
      | query | class | class |
      | query | draft | draft |

  Scenario: An upstream that is leaving gets no new work, and never again
    Given a gateway before two upstreams of each service
    When upstream "u0" is leaving, and an older list says that it isn't
    And 8 callers ask for "post"
    Then none of their requests went to "u0"

  Scenario: A gateway that leaves refuses late comers as not run
    Given a gateway before two upstreams of each service
    When the gateway closes
    And a caller asks for "post"
    Then the caller hears 503
    And the request was sent to 0 upstreams

  Scenario: A request that crashes its upstreams is refused from then on
    Given a gateway before one upstream
    When 3 callers send the same request and it crashes its upstream each time
    And a caller asks for "post"
    Then the caller hears 500
    And no upstream got it

  Scenario Outline: A malformed request is refused: <what>
    Given a gateway before two upstreams of each service
    When a caller sends "<bytes>"
    Then the caller hears <status>
    And the request was sent to 0 upstreams

    Examples:
      | what | bytes | status |
      | no id | GET /post/x HTTP/1.1\r\nHost: h\r\n\r\n | 400 |
      | two ids | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nGodwitloft-Request-Id: b\r\n\r\n | 400 |
      | two keys | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nAuthorization: Token key\r\nAuthorization: Token x\r\n\r\n | 400 |
      | two lengths | POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx | 400 |
      | a full address | GET http://h/post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n\r\n | 400 |
      | token counts | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nGodwitloft-Token-Counts: many\r\nAuthorization: Token key\r\n\r\n | 400 |

  Scenario: A request that is hidden in another one's body never runs
    Given a gateway before two upstreams of each service
    When a caller sends "POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /lookup/y HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: b\r\nAuthorization: Token key\r\n\r\n"
    Then the requests that were sent have the ids "a"
    When the upstream that has it answers well
    Then the requests that were sent have the ids "a,b"

  # A resumed stream waits for a place when something else ends it: its caller
  # has the head already, so that only a visible cut is left.
  Scenario Outline: A stream that waits to be resumed is cut when <what>
    Given a gateway before one engine
    When a caller asks for "query"
    And the engine sends events 1 to 2, breaks off and leaves
    And <what>
    Then the caller's connection ends without the end of the answer
    And nothing is left running

    Examples:
      | what |
      | its key is withdrawn and another engine comes |
      | the proof of its key lapses and another engine comes |
      | the gateway gives up what waits |
      | its time is over |

  Scenario Outline: A request that has run is never called not run: <what>
    Given a gateway before one upstream
    When a caller asks for "lookup"
    And the upstream breaks it off and leaves, and it waits
    And <what>
    Then the caller hears <status>

    Examples:
      | what | status |
      | the proof of its key lapses and another upstream comes | 504 |
      | the gateway gives up what waits | 504 |
      | its time is over | 504 |

  Scenario: An identity that another process answers for is never used again
    Given a gateway before two upstreams of each service
    When a caller asks for "post"
    And the upstream belongs to another process
    And 8 callers ask for "post"
    Then none of the later requests went to the upstream of the first
