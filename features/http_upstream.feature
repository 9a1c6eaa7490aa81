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

  # Guards against an answer without a length that is always thrown away.
  Scenario Outline: A <kind> response <what>
    Given an HTTP upstream with a <kind> run that is connecting
    When the upstream sends "<data>" and <ends>
    Then the run ends as "<end>" with the reason "<reason>"

    Examples:
      | kind | what | data | ends | end | reason |
      | plain | with a length | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | closes the connection | completed | |
      | plain | with a length, cut | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok | closes the connection | crashed | connection_lost |
      | plain | in chunks, cut | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n | closes the connection | crashed | connection_lost |
      | plain | with an invalid chunk | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n | stays silent | crashed | connection_lost |
      | plain | that ends with its connection | HTTP/1.1 200 OK\r\n\r\nok | closes the connection | completed | |
      | plain | that ends with its process | HTTP/1.1 200 OK\r\n\r\nok | closes the connection and its port | crashed | connection_lost |
      | plain | whose process is replaced at once | HTTP/1.1 200 OK\r\n\r\nok | closes the connection and its port for 20 ms | crashed | connection_lost |
      | plain | that is reset before its end | HTTP/1.1 200 OK\r\n\r\nok | resets the connection | crashed | connection_lost |
      | streaming | that ends with its connection | HTTP/1.1 200 OK\r\n\r\ndata: x\n\ndata: [DONE]\n\n | closes the connection | completed | |
      | streaming | without its end marker | HTTP/1.1 200 OK\r\n\r\ndata: x\n\n | closes the connection | failed | stream_cut |
      | streaming | with its end marker in a text | HTTP/1.1 200 OK\r\n\r\ndata: {"a":"data: [DONE]"}\n\n | closes the connection | failed | stream_cut |
      | streaming | that is its end marker | HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n | closes the connection | completed | |
      | streaming | whose lines end with CR | HTTP/1.1 200 OK\r\n\r\ndata: x\r\rdata: [DONE]\r\r | closes the connection | completed | |
      | streaming | that ends with its process, after its end marker | HTTP/1.1 200 OK\r\n\r\ndata: x\n\ndata: [DONE]\n\n | closes the connection and its port | completed | |
      | streaming | that ends with its process, before its end marker | HTTP/1.1 200 OK\r\n\r\ndata: x\n\n | closes the connection and its port | crashed | connection_lost |
      | streaming | whose process is replaced at once, before its end marker | HTTP/1.1 200 OK\r\n\r\ndata: x\n\n | closes the connection and its port for 20 ms | crashed | connection_lost |
      | streaming | that ends with its process, inside its last event | HTTP/1.1 200 OK\r\n\r\ndata: x\n\ndata: [DONE]\n | closes the connection and its port | crashed | connection_lost |
      | streaming | that ends inside an event | HTTP/1.1 200 OK\r\n\r\ndata: [DONE] | closes the connection | failed | event_cut |

  # Guards against a client that works only without TLS.
  Scenario Outline: An upstream with an https URL, whose certificate is <certificate>
    Given an HTTPS upstream with a run that is connecting
    When an upstream whose certificate is <certificate> answers "ok"
    Then the run ends as "<end>" with the reason "<reason>"

    Examples:
      | certificate | end | reason |
      | trusted | completed | |
      | unknown | crashed | connection_lost |

  # Guards against an event that is not counted when a read splits its start.
  Scenario Outline: The tokens of a stream are counted in parts of <size> bytes
    Given an HTTP upstream with a streaming run that is connecting
    When the upstream sends a stream of 5 tokens in parts of <size> bytes
    Then 5 tokens and the end marker are counted

    Examples:
      | size |
      | 1 |
      | 2 |
      | 5 |
      | 7 |
      | 1000 |

  # Guards against a caller's malformed request that counts as a crash.
  Scenario Outline: A request that HTTP can't carry is not sent: <what>
    Given an HTTP upstream with a run whose <what>
    When the upstream is connected
    Then the run ends as "never_started" with the reason "malformed_request"

    Examples:
      | what |
      | path has a raw byte |
      | header has a line break |
      | method has a space |

  Scenario: A run that is cancelled before its request was sent never starts
    Given an HTTP upstream with a run that is connecting
    When the run is cancelled
    Then the run ends as "never_started" with the reason "cancelled"

  Scenario: A run that is cancelled while it runs
    Given an HTTP upstream with a plain run that is connecting
    When the upstream sends "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" and stays silent
    And the run is cancelled
    Then the run ends as "failed" with the reason "cancelled"
