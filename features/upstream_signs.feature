Feature: What upstreams say about themselves in their answers

  An upstream that is leaving gets no new requests, and one that asks for a
  pause gets none until its end, whatever becomes of the answer that says so.

  Scenario Outline: The value of Retry-After: <value>
    Then Retry-After "<value>" asks for <pause> ms, and its error is "<error>"

    Examples:
      | value | pause | error |
      | 2 | 2000 | |
      | 0 | 0 | |
      | 0.25 | 250 | |
      | 1.0001 | 1001 | |
      | -1 | 0 | is negative |
      | soon | 0 | is neither a number of seconds nor a date |
      | nan | 0 | is not a number |
      | 1e12 | 3600000 | |
      | inf | 3600000 | |
      | Thu, 01 Jan 1970 00:00:09 GMT | 4000 | |
      | Thu, 01 Jan 1970 00:00:01 GMT | 0 | |
      | Fri, 99 Foo 2026 | 0 | is neither a number of seconds nor a date |

  Scenario Outline: An upstream says that it is leaving in an answer with <status>
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the upstream answers <status> and says that it is leaving
    And 6 callers request "lookup"
    Then none of the later requests went to the upstream of the first

    Examples:
      | status |
      | 200 |
      | 404 |
      | 500 |
      | 503 |

  Scenario: An upstream says that it is leaving in the head of a stream
    Given a gateway with two upstreams of each service
    When a caller requests "draft"
    And the head of its stream says that the upstream is leaving
    And 3 callers request "draft"
    Then none of the later requests went to the upstream of the first
    And its stream goes on to its end

  Scenario Outline: A word that is not "1" is not heard: <word>
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the upstream answers 200 with Server-Leaving "<word>"
    Then 2 upstreams of "desk" are usable

    Examples:
      | word |
      | 0 |
      | yes |

  # Guards against a sign of a new life that is taken for one of the life
  # before, while the list doesn't show the new one yet.
  Scenario Outline: Leaving holds for one life of an upstream: <later>
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the upstream answers 200 and says that it is leaving
    And that upstream is <later>
    Then <count> upstreams of "desk" are usable

    Examples:
      | later | count |
      | listed again as ready | 1 |
      | missing and listed again as ready | 1 |
      | listed with a later start | 2 |
      | listed with a start before it said so | 1 |

  # Guards against a sign that is lost, as the list has shown the new life
  # between a request and its answer.
  Scenario Outline: An answer counts for the life that the list shows by then: <sign>
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the list shows a later start of it before it has answered
    And the upstream answers <status> and <sign>
    Then <count> upstreams of "desk" take requests

    Examples:
      | sign | status | count |
      | says that it is leaving | 200 | 1 |
      | asks for a pause | 503 | 1 |

  Scenario Outline: A gateway learns from <source> that an upstream is leaving
    Given a gateway with two upstreams of each service
    When <source> says that upstream "u0" with start <born> is leaving
    Then <count> upstreams of "desk" are usable

    Examples:
      | source | born | count |
      | a peer | 1 | 1 |
      | a peer | 2 | 2 |
      | its agent | 1 | 1 |
      | its agent | 2 | 2 |

  Scenario: A gateway tells its peers that an upstream is leaving
    Given a gateway with two upstreams of each service
    And a peer of the gateway
    When a caller requests "lookup"
    And the upstream answers 200 and says that it is leaving
    And 300 ms pass at the gateway
    Then the peer has been told that it is leaving

  Scenario: All upstreams of a service leave, and a new one comes in time
    Given a gateway with two upstreams of each service
    When both upstreams of "desk" say that they are leaving
    And a caller requests "post"
    And 200 ms pass at the gateway
    Then its request waits
    When upstream "u9" of "desk" is listed
    Then its request was sent to "u9"

  Scenario: All upstreams of a service leave, and none comes
    Given a gateway with two upstreams of each service
    When both upstreams of "desk" say that they are leaving
    And a caller requests "post"
    And 5100 ms pass at the gateway
    Then the caller receives status 503

  Scenario Outline: An upstream that asks for a pause of <pause> s gets nothing until its end
    Given a gateway with two upstreams of each service
    When a caller requests "post"
    And the upstream refuses it with Retry-After "<pause>"
    And a caller requests "lookup" each 100 ms for <busy> ms
    Then none of the later requests went to the upstream of the first
    When a caller requests "lookup" each 100 ms for 1500 ms
    Then the upstream of the first gets requests again

    Examples:
      | pause | busy |
      | 1 | 900 |
      | 3.5 | 3400 |

  Scenario Outline: A pause holds for one life of an upstream: <later>
    Given a gateway with two upstreams of each service
    When a caller requests "post"
    And the upstream refuses it with Retry-After "5"
    And that upstream is <later>
    Then <count> upstreams of "desk" take requests

    Examples:
      | later | count |
      | listed again as ready | 1 |
      | missing and listed again as ready | 1 |
      | listed with a later start | 2 |
      | listed with a start before it said so | 1 |

  Scenario: A request whose connection is still being made is taken back
    Given a gateway with two upstreams of each service
    When a caller requests "post"
    And another request is being connected to the same upstream
    And the upstream refuses it with Retry-After "5"
    Then the other request was taken back and sent elsewhere

  Scenario: All upstreams pause for longer than requests can wait
    Given a gateway with two upstreams of each service
    When both upstreams of "desk" ask for a pause of 8 s
    And 20 callers request "post" and wait 5000 ms
    Then each is refused at once, told to come back 8 to 10 s later
    And they are told at least 15 different times

  # Guards against a refusal for a pause that the log calls a timeout.
  Scenario: A request that has run waits again when all upstreams pause
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the upstream resets the connection while the other is full
    And both upstreams of "desk" ask for a pause of 8 s
    And 100 ms pass at the gateway
    Then the caller receives status 504
    And the log says that it was refused for "upstreams_paused"

  # Guards against a stream that is given up for an upstream that pauses.
  Scenario: A stalled stream stays where it is while all others pause
    Given a gateway with two upstreams of each service
    When a caller requests "query"
    And its stream begins and stalls, and the other upstream asks for a pause of 8 s
    And 1600 ms pass at the gateway
    Then its attempt is still running

  # Guards against a request held for an upstream that pauses beyond its time.
  Scenario Outline: A failed request whose only other upstream pauses for <pause> s
    Given a gateway with two upstreams of each service
    When a caller requests "lookup"
    And the other upstream asks for a pause of <pause> s
    And the upstream resets the connection
    And <wait> ms pass at the gateway
    Then the caller has <answer>
    And the log says that it was not retried for "<reason>"

    Examples:
      | pause | wait | answer | reason |
      | 8 | 25 | status 502 | upstreams_paused |
      | 1 | 25 | no answer | |

  Scenario: All upstreams pause, and the first of them soon takes requests
    Given a gateway with two upstreams of each service
    When both upstreams of "desk" ask for a pause of 1 s
    And a caller requests "post"
    And 900 ms pass at the gateway
    Then its request waits
    When 200 ms pass at the gateway
    Then its request was sent once

  Scenario: Requests that wait for the end of a pause start one after the other
    Given a gateway with two upstreams of each service
    When both upstreams of "desk" ask for a pause of 1 s
    And 5 callers request "lookup" and wait 5000 ms
    And 1050 ms pass at the gateway
    Then at most 2 of their requests were sent
    When 500 ms pass at the gateway
    Then all of their requests were sent

  Scenario: A retry after such a refusal draws on the shared budget
    Given a gateway with two upstreams of each service
    And no retries are left in its budget
    When a caller requests "post"
    And the upstream refuses it with Retry-After "1"
    Then the caller receives status 503
    And the request was sent to 1 upstreams

  # Guards against a missing report that counts as an idle upstream.
  Scenario Outline: What an agent knows of its upstream's load after a report that <fails>
    Given an agent whose upstream started at 7
    When its upstream reports 5 requests that no gateway claims, twice
    And its next 2 reports <fails>
    Then it counts <count> requests that no gateway claims
    And <lines> of its log lines tell of a failed report

    Examples:
      | fails | count | lines |
      | time out | 5 | 1 |
      | are refused with 503 | 5 | 1 |
      | can't be read | 5 | 1 |
      | find no process | 0 | 1 |

  Scenario Outline: An agent tells gateways that its upstream is leaving
    Given an agent whose upstream started at 7
    When its report <says>
    Then its grants tell gateways "<told>"

    Examples:
      | says | told |
      | says that it is leaving | 7 |
      | says nothing | nothing |
      | says that it is leaving, and the next one of start 8 says nothing | nothing |
