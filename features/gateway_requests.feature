Feature: A gateway runs each request at most as often as permitted

  # Guards against running a request twice that must not be repeated, and
  # against giving up one that may be. "count" is the number of upstreams that
  # get the request; the second upstream always answers successfully.
  Scenario Outline: <route>, whose first upstream <does>
    Given a gateway with two upstreams of each service
    When a caller requests "<route>"
    And the upstream <does>
    Then the request was sent to <count> upstreams
    When the upstream that runs it answers successfully
    Then the caller receives status <status>

    Examples:
      | route | does | count | status |
      | post | accepts no connection | 2 | 200 |
      | post | states that it did not run it | 2 | 200 |
      | post | has been replaced by another process | 2 | 200 |
      | post | resets the connection | 1 | 502 |
      | post | fails with 500 | 1 | 500 |
      | lookup | accepts no connection | 2 | 200 |
      | lookup | resets the connection | 2 | 200 |
      | lookup | fails with 500 | 2 | 200 |
      | draft | resets the connection | 1 | 502 |
      | draft | states that it did not run it | 2 | 200 |
      | query | resets the connection | 2 | 200 |

  Scenario Outline: An invalid answer isn't forwarded: <what>
    Given a gateway with two upstreams of each service
    When a caller requests "post"
    And the upstream's answer <what>
    Then the caller receives status 502
    And the caller receives nothing of that answer

    Examples:
      | what |
      | has no seal |
      | has another request's id |
      | has no id |
      | is encoded |

  Scenario: A resumed stream has each event once, and one head
    Given a gateway with two upstreams of each service
    When a caller requests "query"
    And the upstream sends events 1 to 2 and half of the third, and breaks the connection
    Then the request was sent to 2 upstreams
    And the second was asked to resume after event 2
    When the second sends events 3 to 4 and ends
    Then the caller has received events 1 to 4 once each and a complete answer

  Scenario Outline: A stream without data: <route>, for <ms> ms
    Given a gateway with two upstreams of each service
    When a caller requests "<route>"
    And the upstream sends events 1 to 2 and half of the third, and then stalls
    And <ms> ms pass at the gateway
    Then the request was sent to <count> upstreams

    Examples:
      | route | ms | count |
      | query | 1600 | 2 |
      | query | 1300 | 1 |
      | draft | 1600 | 1 |

  Scenario: A stalled stream is resumed at another upstream, once
    Given a gateway with two upstreams of each service
    When a caller requests "query"
    And the upstream sends events 1 to 2 and half of the third, and then stalls
    And 1600 ms pass at the gateway
    Then the first attempt is cancelled
    And the second was asked to resume after event 2
    When the second sends events 3 to 4 and ends
    Then the caller has received events 1 to 4 once each and a complete answer
    And no request is running

  Scenario: A stalled stream isn't cancelled without another upstream
    Given a gateway with one engine
    When a caller requests "query"
    And the upstream sends events 1 to 2 and half of the third, and then stalls
    And 1600 ms pass at the gateway
    Then its attempt is still running

  Scenario: A stream that may not be resumed ends visibly incomplete
    Given a gateway with two upstreams of each service
    When a caller requests "draft"
    And the upstream sends events 1 to 2 and half of the third, and breaks the connection
    Then the request was sent to 1 upstreams
    And the caller's connection ends without the end of the answer

  Scenario Outline: A request that times out is answered at once: <state>
    Given a gateway with <upstreams>
    When a caller who waits 1000 ms requests "post"
    And 1100 ms pass at the gateway
    Then the caller receives status <status>
    And its attempt is <attempt>

    Examples:
      | state | upstreams | status | attempt |
      | sent | two upstreams of each service | 504 | cancelled |
      | waiting | no upstreams | 503 | never made |

  Scenario: A request is cancelled when its caller disconnects
    Given a gateway with two upstreams of each service
    When a caller requests "draft"
    And the caller disconnects
    Then its attempt is cancelled
    And no request is running

  # An unconfirmed configuration may lack a new key or route.
  Scenario Outline: No 401 or 404 without a confirmation: <key> <route>
    Given a gateway with two upstreams of each service
    When 4100 ms pass without a confirmation of the configuration
    And a caller with key "<key>" requests "<route>"
    Then the caller receives status 503
    And the request was sent to 0 upstreams
    And the gateway isn't ready

    Examples:
      | route | key |
      | post | key |
      | post | stranger |
      | nowhere | key |

  # Guards against giving up a stream whose caller still waits.
  Scenario Outline: How long a caller waits for the first data of a stream: target <target>, pause <pause>
    Given a gateway with no upstreams
    And "draft" has the target <target> ms and the longest pause <pause> ms
    When a caller who waits 9000 ms requests "draft"
    Then its first data must come within <wait> ms

    Examples:
      | target | pause | wait |
      | 400 | 0 | 2000 |
      | 800 | 0 | 3200 |
      | 400 | 300 | 2400 |
      | 800 | 300 | 3200 |
      | 400 | 1000 | 5000 |

  Scenario: A key that is withdrawn while its request waits
    Given a gateway with no upstreams
    When a caller requests "post"
    And a configuration without its key takes effect and an upstream is listed
    Then the caller receives status 401
    And the request was sent to 0 upstreams

  Scenario: An older configuration is ignored
    Given a gateway with two upstreams of each service
    When configuration 5 without keys arrives and then configuration 4 with keys
    And a caller requests "post"
    Then the caller receives status 401

  Scenario Outline: Waiting requests are sent in order: <first>, <second>
    Given a gateway with no upstreams
    When callers request "<first>" and, 10 ms later, "<second>"
    And one upstream with one slot is listed
    Then "<runs>" is sent

    Examples:
      | first | second | runs |
      | class | draft | draft |
      | query | draft | draft |
      | draft | class | draft |

  # Ranks: draft 0, query 1, class 2.
  Scenario Outline: A late <first> and a <second> that can still be on time
    Given a gateway with no upstreams
    When callers request "<first>" and, 450 ms later, "<second>"
    And one upstream with one slot is listed
    Then "<runs>" is sent

    Examples:
      | first | second | runs |
      | draft | query | query |
      | draft | class | draft |
      | query | class | class |
      | query | draft | draft |

  Scenario: An upstream that is leaving gets no new work, and never again
    Given a gateway with two upstreams of each service
    When upstream "u0" is leaving and an older list says that it isn't
    And 8 callers request "post"
    Then none of their requests went to "u0"

  Scenario: A draining gateway refuses new requests as not run
    Given a gateway with two upstreams of each service
    When the gateway stops accepting requests
    And a caller requests "post"
    Then the caller receives status 503
    And the request was sent to 0 upstreams

  # Guards against a caller that repeats what has run, as it is told that it has
  # not: an upstream's status promises nothing unless it says so.
  Scenario Outline: An upstream's <status> on "<route>" that doesn't say "not run" is no promise
    Given a gateway with two upstreams of each service
    When a caller requests "<route>"
    And the upstream answers <status> and doesn't say that it has not run it
    Then the request was sent to <sent> upstreams
    And the caller was then given <answer>

    Examples:
      | route | status | sent | answer |
      | post | 503 | 1 | 502 |
      | post | 429 | 1 | 502 |
      | post | 408 | 1 | 502 |
      | post | 500 | 1 | 500 |
      | lookup | 503 | 2 | no answer |
      | lookup | 429 | 2 | no answer |
      | lookup | 408 | 2 | no answer |

  # Guards against requests that are taken late in a planned stop, and cut off
  # without an answer at its end.
  Scenario Outline: A gateway that must end takes only what it can finish: "<route>" that takes <takes>, <left> ms before
    Given a gateway with two upstreams of each service
    And requests of "<route>" that take <takes>
    When the gateway must end in <left> ms
    And a caller who waits 4000 ms requests "<route>"
    Then the request was sent to <sent> upstreams
    And its caller <gets>

    Examples:
      | route | takes | left | sent | gets |
      | post | 100 ms | 3000 | 1 | waits |
      | post | 3500 ms | 3000 | 0 | is told that it has not run |
      | post | 3500 ms | 3600 | 1 | waits |
      | post | an unknown time | 3000 | 0 | is told that it has not run |
      | post | an unknown time | 4100 | 1 | waits |
      | lookup | 3500 ms | 3000 | 0 | is told that it has not run |
      | query | 3500 ms | 3000 | 0 | is told that it has not run |

  Scenario: A request that waits for too long in a gateway that must end is refused
    Given a gateway with two upstreams of each service
    And requests of "post" that take 1000 ms
    When the gateway must end in 2000 ms
    And all upstreams are away for 1500 ms after a caller requests "post"
    Then the request was sent to 0 upstreams
    And its caller is told that it has not run

  Scenario Outline: A request that runs at the end of a planned stop gets an answer: <route>
    Given a gateway with two upstreams of each service
    When a caller requests "<route>"
    And the gateway ends all requests
    Then the caller receives status 504
    And no request is running

    Examples:
      | route |
      | post |
      | lookup |
      | query |

  Scenario: A request that crashes its upstreams is refused from then on
    Given a gateway with one upstream
    When 3 callers send the same request and it crashes its upstream each time
    And a caller requests "post"
    Then the caller receives status 500
    And no upstream received it

  Scenario Outline: A malformed request is refused: <what>
    Given a gateway with two upstreams of each service
    When a caller sends "<bytes>"
    Then the caller receives status <status>
    And the request was sent to 0 upstreams

    Examples:
      | what | bytes | status |
      | no id | GET /post/x HTTP/1.1\r\nHost: h\r\n\r\n | 400 |
      | two ids | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nGodwitloft-Request-Id: b\r\n\r\n | 400 |
      | two keys | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nAuthorization: Token key\r\nAuthorization: Token x\r\n\r\n | 400 |
      | two lengths | POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx | 400 |
      | a full address | GET http://h/post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n\r\n | 400 |
      | token counts | GET /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nGodwitloft-Token-Counts: many\r\nAuthorization: Token key\r\n\r\n | 400 |

  # Guards against request smuggling: with both Transfer-Encoding and
  # Content-Length, the bytes after the chunked body are a second request.
  Scenario: Bytes after a request's body are a request of their own
    Given a gateway with two upstreams of each service
    When a caller sends "POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /lookup/y HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: b\r\nAuthorization: Token key\r\n\r\n"
    Then the requests that were sent have the ids "a"
    When the upstream that runs it answers successfully
    Then the requests that were sent have the ids "a,b"

  # A stream that waits to be resumed has already sent the head to its caller,
  # so that it can only end by closing the connection.
  Scenario Outline: A stream that waits to be resumed is closed when <what>
    Given a gateway with one engine
    When a caller requests "query"
    And the engine sends events 1 to 2, breaks the connection and is removed
    And <what>
    Then the caller's connection ends without the end of the answer
    And no request is running

    Examples:
      | what |
      | its key is withdrawn and another engine is listed |
      | the configuration's confirmation expires and another engine is listed |
      | the gateway refuses all waiting requests |
      | its deadline passes |

  Scenario Outline: A request that has run is never reported as not run: <what>
    Given a gateway with one upstream
    When a caller requests "lookup"
    And the upstream breaks the connection and is removed, and the request waits again
    And <what>
    Then the caller receives status <status>

    Examples:
      | what | status |
      | the configuration's confirmation expires and another upstream is listed | 504 |
      | the gateway refuses all waiting requests | 504 |
      | its deadline passes | 504 |

  Scenario: An upstream that was replaced by another process is avoided
    Given a gateway with two upstreams of each service
    When a caller requests "post"
    And the upstream has been replaced by another process
    And 8 callers request "post"
    Then none of the later requests went to the upstream of the first
