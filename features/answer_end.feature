Feature: The end of an answer

  A caller that gets the end of a broken-off answer takes it for a whole one.

  # Guards against a broken-off stream that reaches its caller as complete.
  Scenario Outline: A stream that ends inside an event ends visibly incomplete: <route>, <framing>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And the upstream's stream, framed by <framing>, ends inside its third event
    Then the caller's connection ends without the end of the answer
    And the caller has received events 1 to 2

    Examples:
      | route | framing |
      | draft | close |
      | draft | chunks |
      | draft | length |
      | class | close |

  # "whole" is a complete answer, "cut" one whose end is missing. A body that
  # only the end of its connection ends may be short without any sign.
  Scenario Outline: A <route> answer, framed by <framing>: <event>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And the upstream answers, framed by <framing>: <event>
    Then the caller's answer is <answer>

    Examples: plain answers
      | route | framing | event | answer |
      | post | length | whole | whole |
      | post | length | closed midway | 502 |
      | post | length | reset midway | 502 |
      | post | length | silent midway | 504 |
      | post | length | more bytes than announced | whole |
      | post | length | a second answer | whole |
      | post | chunks | whole | whole |
      | post | chunks | closed midway | 502 |
      | post | chunks | reset midway | 502 |
      | post | chunks | silent midway | 504 |
      | post | chunks | closed inside a chunk | 502 |
      | post | chunks | invalid chunk size | 502 |
      | post | chunks | closed inside trailers | 502 |
      | post | chunks | a second answer | whole |
      | post | close | whole | whole |
      | post | close | closed midway | whole |
      | post | close | reset midway | 502 |
      | post | close | silent midway | 504 |
      | post | HTTP/1.0 | whole | whole |
      | post | HTTP/1.0 | reset midway | 502 |
      | post | status 204 | whole | whole |

    Examples: streams
      | route | framing | event | answer |
      | draft | length | whole | whole |
      | draft | length | closed midway | cut |
      | draft | length | reset midway | cut |
      | draft | length | silent midway | cut |
      | draft | length | more bytes than announced | whole |
      | draft | chunks | whole | whole |
      | draft | chunks | closed midway | cut |
      | draft | chunks | reset midway | cut |
      | draft | chunks | silent midway | cut |
      | draft | chunks | closed inside a chunk | cut |
      | draft | chunks | invalid chunk size | cut |
      | draft | chunks | closed inside trailers | cut |
      | draft | chunks | a second answer | whole |
      | draft | close | whole | whole |
      | draft | close | closed inside an event | cut |
      | draft | close | closed before any event | 502 |
      | draft | close | reset midway | cut |
      | draft | close | silent midway | cut |
      | draft | HTTP/1.0 | whole | whole |
      | draft | HTTP/1.0 | closed inside an event | cut |

  # Guards against the end of a process, which closes its connections as cleanly
  # as one that has answered, taken for the end of its answer. Of one that lives
  # on, nothing tells whether it broke off between two events or was done.
  Scenario Outline: An answer without a length ends only if its upstream lives on: <route>, <framing>, it <then>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And its upstream, that <then>, closes the connection midway, framed by <framing>
    Then the caller's answer is <answer>

    Examples:
      | route | framing | then | answer |
      | draft | close | accepts connections | whole |
      | draft | close | refuses connections | cut |
      | draft | HTTP/1.0 | refuses connections | cut |
      | draft | close | is silent and then accepts connections | whole |
      | draft | close | is silent and then refuses connections | cut |
      | draft | close | is silent | whole |
      | draft | HTTP/1.0 | is silent | whole |
      | query | close | accepts connections | asked for elsewhere |
      | query | close | refuses connections | asked for elsewhere |
      | query | close | is silent | asked for elsewhere |
      | lookup | close | accepts connections | whole |
      | lookup | close | refuses connections | asked for elsewhere |
      | lookup | close | is silent | whole |
      | post | close | accepts connections | whole |
      | post | close | refuses connections | 502 |
      | post | close | is silent | whole |
      | post | HTTP/1.0 | refuses connections | 502 |
      | post | length | refuses connections | 502 |

  # Guards against whole answers of a process that ends in order, which may
  # close its port first, and of one whose other answers go on.
  Scenario Outline: A closed port isn't always the end of a process: <route>, its upstream <what>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And meanwhile its upstream <what>
    And closes the connection of a whole answer and refuses connections
    Then the caller's answer is <answer>

    Examples:
      | route | what | answer |
      | draft | is leaving | whole |
      | draft | is not listed any more | whole |
      | draft | is sending another answer | whole |
      | draft | has begun another answer and is silent for 50 ms | cut |
      | draft | has nothing else to do | cut |
      | draft | is listed as a new process | cut |
      | draft | closes another answer too | cut |
      | draft | is leaving and closes another answer inside an event | cut |
      | draft | is leaving and breaks another answer off | cut |
      | draft | is sending another answer to a slow reader | cut |
      | draft | has been found to be another process | cut |
      | draft | is leaving and sends no answer but other bytes elsewhere | whole |
      | draft | is leaving and has stalled at another answer | whole |
      | post | is leaving | whole |
      | post | is not listed any more | whole |
      | post | is sending another answer | whole |
      | post | has nothing else to do | 502 |
      | post | is leaving and breaks another answer off | 502 |
      | post | is sending another answer to a slow reader | 502 |
      | post | has been found to be another process | 502 |
      | post | is leaving and sends no answer but other bytes elsewhere | whole |

  # Guards against a restart that is excused like a closed port.
  Scenario Outline: A process that has started again has not sent a whole answer: <route>, it <what>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And meanwhile its upstream <what>
    And closes the connection midway, having started again
    Then the caller's answer is <answer>

    Examples:
      | route | what | answer |
      | draft | has nothing else to do | cut |
      | draft | is leaving | cut |
      | draft | is not listed any more | cut |
      | draft | is sending another answer | cut |
      | post | is leaving | 502 |
      | post | is sending another answer | 502 |

  # Guards against a connection's end that is taken for the end of a stream, and
  # against a sound stream that is never seen to have ended. An upstream that is
  # asked to go on after the last event of a stream has nothing to add.
  Scenario Outline: A stream that nothing ends is asked for once more: <first>, then <then>
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream's stream, framed by <first>, ends after event <count>
    And the next upstream, asked to go on after event <count>, <then>
    Then the caller's answer is <answer>
    And the caller has received events 1 to <received>

    Examples:
      | first | count | then | answer | received |
      | close | 3 | has nothing to add, framed by chunks | whole | 3 |
      | close | 3 | has nothing to add, framed by length | whole | 3 |
      | close | 3 | has nothing to add, framed by close | whole | 3 |
      | HTTP/1.0 | 3 | has nothing to add, framed by HTTP/1.0 | whole | 3 |
      | close | 2 | adds event 3, framed by chunks | whole | 3 |
      | close | 2 | adds event 3, framed by close | whole | 3 |
      | close | 2 | resets the connection | whole | 2 |
      | close | 2 | fails with status 500 | whole | 2 |
      | close | 2 | answers with status 404 | whole | 2 |
      | close | 2 | refuses it as not run | whole | 2 |
      | close | 2 | begins event 3, framed by close | cut | 2 |
      | close | 2 | begins event 3, framed by chunks | cut | 2 |
      | close | 2 | begins an event 3 that is too long, framed by close | cut | 2 |

  # Guards against an event that has begun and that the end leaves out.
  Scenario Outline: A stream isn't whole without an event that has begun: after event <count>, <then>
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream's stream, framed by close, ends inside the event after event <count>
    And the next upstream, asked to go on after event <count>, <then>
    Then the caller's answer is <answer>
    And the caller has received events 1 to <received>

    Examples:
      | count | then | answer | received |
      | 2 | has nothing to add, framed by chunks | cut | 2 |
      | 2 | has nothing to add, framed by length | cut | 2 |
      | 2 | has nothing to add, framed by close | cut | 2 |
      | 2 | adds event 3, framed by chunks | whole | 3 |

  # Guards against two upstreams that fail alike and pass for a whole stream.
  Scenario Outline: The upstreams of a stream end one after the other: <first>, <second>, <third>
    Given a gateway that reads what its upstreams send
    And its routes allow 3 attempts
    When a caller requests "query"
    And its upstreams, one after the other, <first>, <second>, <third>
    Then the caller's answer is <answer>

    Examples:
      | first | second | third | answer |
      | break off after event 2 | send nothing, framed by close | send nothing, framed by close | cut |
      | break off after event 2 | send a comment, framed by close | send nothing, framed by close | cut |
      | break off after event 2 | send nothing, framed by close | send nothing, framed by chunks | whole |
      | end after event 2 | break off within event 3 | send nothing, framed by close | cut |
      | end after event 2 | break off within event 3 | send nothing, framed by chunks | cut |
      | end after event 2 | break off within event 3 | send a comment, framed by chunks | cut |
      | end after event 2 | break off within event 1 | send nothing, framed by close | whole |
      | end after event 2 | repeat event 1 and break off within event 2 | send nothing, framed by close | whole |
      | end after event 2 | break off | send nothing, framed by close | whole |
      | end after event 2 | break off within a comment | send nothing, framed by close | whole |

  Scenario: A sound upstream whose streams nothing ends is not avoided
    Given a gateway that reads what its upstreams send
    When 4 times a caller requests "draft", and its stream, framed by close, ends
    Then no upstream is paused

  Scenario Outline: The log tells what became of a stream that nothing ended: <then>
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream's stream, framed by close, ends after event 2
    And the next upstream, asked to go on after event 2, <then>
    Then GL1209 has after_event "2", then "<what>"

    Examples:
      | then | what |
      | has nothing to add, framed by chunks | whole |
      | adds event 3, framed by chunks | goes_on |
      | resets the connection | taken_for_whole |
      | fails with status 500 | taken_for_whole |
      | refuses it as not run | taken_for_whole |
      | begins event 3, framed by close | cut |

  Scenario: The log tells that a stream was taken for whole whose time ended before its end was known
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream's stream, framed by close, ends after event 2
    And the next upstream is silent until the caller's time is over
    Then the caller's answer is whole
    And GL1209 has after_event "2", then "taken_for_whole"

  Scenario: The log tells that a stream was taken for whole as nobody knew its end
    Given a gateway that reads what its upstreams send
    When a caller requests "query"
    And the upstream's stream, framed by close, ends after event 2
    And the next upstream, asked to go on after event 2, adds event 3, framed by close
    Then GL1209 has after_event "3", then "taken_for_whole"

  Scenario: A caller may leave while it is found out whether an upstream lives on
    Given a gateway that reads what its upstreams send
    When a caller requests "draft"
    And its upstream, that has not shown whether it lives, closes the connection midway, framed by close
    And the caller closes its connection
    Then what the check shows in the end changes nothing

  Scenario Outline: The end of an event is found in parts of <size> bytes, lines ending with <line end>
    Then a stream with line ends <line end> in parts of <size> bytes ends between events
    And one byte before its end it is inside an event

    Examples:
      | line end | size |
      | LF | 1 |
      | LF | 3 |
      | LF | 100 |
      | CRLF | 1 |
      | CRLF | 3 |
      | CRLF | 100 |
      | CR | 1 |
      | CR | 100 |

  Scenario: The log tells how a broken answer was framed and where it ended
    Given a gateway that reads what its upstreams send
    When a caller requests "draft"
    And the upstream answers, framed by close: closed inside an event
    Then GL1206 has reason "event_cut", framing "close" and inside_event true

  # Guards against a head without its end that is taken for an empty answer.
  Scenario Outline: An answer that ends within its head is none, at whatever byte: <route>, <framing>, <end>
    Then a "<route>" whose answer, framed by <framing>, is <end> at any byte of its head gets status 502

    Examples:
      | route | framing | end |
      | post | length | closed |
      | post | length | reset |
      | post | chunks | closed |
      | post | close | closed |
      | post | HTTP/1.0 | closed |
      | lookup | length | closed |
      | draft | chunks | closed |
      | draft | close | closed |
      | query | chunks | closed |
      | query | close | closed |
      | query | close | reset |

  Scenario Outline: A stream that began is cut if the next answer ends within its head: <end>
    Then a "query" whose second answer is <end> at any byte of its head is cut

    Examples:
      | end |
      | closed |
      | reset |

  Scenario: The store's client takes no answer that ends within its head
    Then a call of the store whose answer is closed at any byte of its head fails

  # Guards against an answer that a killed process broke off, and whose end is
  # read once the next process has its port (review/10).
  Scenario Outline: An answer isn't whole if its process has ended by the list: <framing>, <what>, <when>
    Given a gateway that reads what its upstreams send
    When a caller requests "post" and nobody can be asked for more: nothing
    And the list shows <what> that started <when> the request was sent
    And the upstream answers, framed by <framing>: whole
    And the upstream closes the connection if it is open
    And 300 ms pass for the gateway
    Then the caller's answer is <answer>

    Examples:
      | framing | what | when | answer |
      | close | its upstream's next process | after | 502 |
      | close | its upstream's next process | before | whole |
      | length | its upstream's next process | after | whole |
      | chunks | its upstream's next process | after | whole |
      | close | another upstream at its address | after | 502 |
      | close | another upstream at its address | before | whole |
      | length | another upstream at its address | after | whole |
      | close | another upstream at another address | after | whole |
