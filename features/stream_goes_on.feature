Feature: A stream that goes on at another upstream

  The caller sees one answer: of the upstreams after the first it gets only the
  events that it lacks.

  # Guards against the text of an error in the middle of a stream.
  Scenario Outline: An error of the next upstream is no part of the stream: <answer>
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream breaks the connection off after events with the ids "1 2"
    And the next one answers <answer>
    Then the caller's answer is cut
    And the caller has received just the events with the ids "1 2"

    Examples:
      | answer |
      | 404 Not Found |
      | 400 Bad Request |
      | 302 Found |
      | 500 Failure |
      | 503 Full |
      | 421 Elsewhere |

  # Guards against events that come twice, or numbers that go back.
  Scenario Outline: An upstream that doesn't heed the last event is no part of the stream: <first>, then <next>
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream breaks the connection off after events with the ids "<first>"
    And the next one answers with events with the ids "<next>"
    Then the caller's answer is <answer>
    And the caller has received just the events with the ids "<received>"

    Examples:
      | first | next | answer | received |
      | 1 2 | 3 4 | whole | 1 2 3 4 |
      | 1 2 | 1 2 3 4 | cut | 1 2 |
      | 1 2 | 2 3 4 | cut | 1 2 |
      | 9 10 | 11 12 | whole | 9 10 11 12 |
      | a b | c d | whole | a b c d |
      | a b | b c | cut | a b |
      | a b | a b c | cut | a b |
      | a b | a c d | cut | a b |
      | a - b | c a | whole | a - b c a |
      | 1 2 | - - - | cut | 1 2 |
      | 1 2 | - 3 4 | cut | 1 2 |
      | 1 2 | : 3 4 | whole | 1 2 : 3 4 |
      | 1 2 | 3 - 4 | whole | 1 2 3 - 4 |

  # Guards against events that come twice because no id tells where to go on.
  Scenario Outline: A stream without ids doesn't go on: after events with the ids "<ids>"
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream breaks the connection off after events with the ids "<ids>"
    Then the request was sent to <count> upstreams
    And the caller has received just the events with the ids "<ids>"

    Examples:
      | ids | count |
      | - | 1 |
      | - - | 1 |
      | 1 - | 1 |
      | 1 = | 1 |
      | - 2 | 2 |
      | 1 2 | 2 |

  Scenario Outline: The last event with data tells whether a stream can go on: <events>
    Then of the events "<events>" the last one <has> an id

    Examples:
      | events | has |
      | id: 1\ndata: x\n\n | has |
      | data: x\nid: 1\n\n | has |
      | id: 1\r\ndata: x\r\n\r\n | has |
      | data: x\rid: 1\r\r | has |
      | id: 1\ndata: x\n\n: a comment\n\n | has |
      | data: x\n\n | lacks |
      | id:\ndata: x\n\n | lacks |
      | id: \ndata: x\n\n | lacks |
      | id: 1\ndata: x\n\ndata: y\n\n | lacks |
      | data: id: 1\n\n | lacks |
      | : a comment\n\n | may have |

  # Guards against a new process that has the address of the listed one.
  Scenario Outline: A stream goes on only at the process that is listed: it is found to be <found>
    Given a gateway that reads what its upstreams send
    And its upstreams, asked for their start, are found to be <found>
    When a caller requests "query"
    And the upstream breaks the connection off after events with the ids "1 2"
    And 50 ms pass at the gateway
    Then the request was sent to <count> upstreams

    Examples:
      | found | count |
      | SAME | 2 |
      | UNTOLD | 2 |
      | REPLACED | 1 |
      | NO_ANSWER | 1 |

  Scenario: A caller may leave while an upstream is asked for its start
    Given a gateway that reads what its upstreams send
    And its upstreams, asked for their start, do not answer yet
    When a caller requests "query"
    And the upstream breaks the connection off after events with the ids "1 2"
    And the caller closes its connection
    And its upstreams, asked for their start, answer
    Then the request was sent to 1 upstreams

  Scenario Outline: An upstream's report tells its start: <report>
    Then a report "<report>" of an upstream that is listed as started at 5 shows <found>

    Examples:
      | report | found |
      | {"born": 5} | SAME |
      | {"born": 6} | REPLACED |
      | {"born": 0} | UNTOLD |
      | {} | UNTOLD |
      | {"born": "5"} | UNTOLD |
      | {"born": [5]} | UNTOLD |
      | {"born": -1} | UNTOLD |
      | {"born": 1e400} | UNTOLD |

  # Guards against an upstream that has started again at once, whose stream then
  # looks whole, and against a whole stream that is cut because clocks differ.
  Scenario Outline: A new start of an upstream shows in its report: <report>, since <since>
    Then an upstream listed as started at 5 tells of <what> since <since> by its report "<report>"

    Examples:
      | report | since | what |
      | {"born": 9} | 8 | a new start |
      | {"born": 9} | 9 | no new start |
      | {"born": 9} | 10 | no new start |
      | {"born": 5} | 4 | no new start |
      | {} | 4 | no new start |
      | {"born": "9"} | 4 | no new start |

  # Guards against a whole stream that is cut as no start of its upstream is listed.
  Scenario: An upstream without a listed start shows no new one
    Then an upstream listed as started at 0 tells of no new start since 4 by its report "{"born": 9}"
