Feature: The adapter serves requests on a stand-in Lakeshore platform

  Background:
    Given a stand-in Lakeshore platform with a configuration
    And an entry on it that is ready

  Scenario Outline: A signal that arrives during startup: <signal>
    When the entry is restarted and gets <signal> while it starts
    Then it <then>

    Examples:
      | signal | then |
      | SIGHUP | becomes ready |
      | SIGTERM | ends with status 0 |

  Scenario Outline: A <kind> request gets its own answer from one runner
    When request "a1" asks "<path>"
    Then it gets 200 with "<answer>" and a runner's seal
    And it ran once, for team "team-a", without the key
    And the caller's values of reserved headers were not forwarded

    Examples:
      | kind | path | answer |
      | streaming | /once/x?y=1 | id: 1\ndata: x1 of a1\n\nid: 2\ndata: x2 of a1\n\nid: 3\ndata: x3 of a1\n\n |
      | idempotent | /lookup/x | answer to a1\n |
      | non-idempotent | /post/x | answer to a1\n |

  Scenario Outline: A request that the configuration doesn't allow is refused: <case>
    When a caller with key "<key>" sends request "b1" for "<path>"
    Then its status is <status> from the entry
    And its request ran 0 times

    Examples:
      | case | path | key | status |
      | no route | /nowhere/x | key-a | 404 |
      | a foreign key | /lookup/x | key-z | 401 |
      
  Scenario: Refusals and answers are counted on the metrics port
    When request "n1" asks "/nowhere/x"
    And request "n2" asks "/lookup/x"
    Then the metrics contain
      | sample |
      | godwitloft_refusals_total{reason="no_route"} 1.0 |
      | godwitloft_outcomes_total{outcome="completed"} 1.0 |
      | godwitloft_wait_milliseconds_count 1.0 |

  Scenario: Only a public route needs no key
    When a caller without a key sends request "b2" for "/lookup/x"
    Then its status is 401 from the entry
    When a caller without a key sends request "c1" for "/open/x"
    Then its status is 200 from the entry

  Scenario Outline: A runner's refusal proves that the request didn't run, so it is retried: <how>
    Given every runner's next request is answered with <how>
    When request "d1" asks "/post/x"
    Then its status is <status> from the entry
    And its request ran <runs> times

    Examples:
      | how | status | runs |
      | misdirect | 503 | 0 |
      | refuse | 503 | 0 |

  Scenario Outline: A stream that is cut off: <route>
    Given the next stream is cut after 1 events
    When request "e1" asks "/<route>/x"
    Then its answer is <whole> with "<answer>"
    And its request ran <runs> times

    Examples:
      | route | whole | answer | runs |
      | stream | whole | id: 1\ndata: x1 of e1\n\nid: 2\ndata: x2 of e1\n\nid: 3\ndata: x3 of e1\n\n | 2 |
      | once | cut | id: 1\ndata: x1 of e1\n\n | 1 |

  # Guards against the end of a dead process's connection that is taken for the
  # end of its stream.
  Scenario Outline: A stream without a length does not end with its runner's process: <route>, back after <down> ms
    Given the next stream has no length and ends with its runner's process, back after <down> ms
    When request "e2" asks "/<route>/x"
    Then its answer is <whole> with "<answer>"
    And its request ran <runs> times

    Examples:
      | route | down | whole | answer | runs |
      | stream | 1500 | whole | id: 1\ndata: x1 of e2\n\nid: 2\ndata: x2 of e2\n\nid: 3\ndata: x3 of e2\n\n | 2 |
      | stream | 10 | whole | id: 1\ndata: x1 of e2\n\nid: 2\ndata: x2 of e2\n\nid: 3\ndata: x3 of e2\n\n | 2 |
      | once | 1500 | cut | id: 1\ndata: x1 of e2\n\n | 1 |
      | once | 10 | cut | id: 1\ndata: x1 of e2\n\n | 1 |

  # Guards against a restart that is seen and excused, as a runner that leaves
  # may close its port before its last answers have ended.
  Scenario: A stream without a length does not end with the process of a leaving runner that is back at once
    Given the next stream has no length and ends with its runner's process, back after 10 ms
    And that runner says that it is leaving
    When request "e5" asks "/once/x"
    Then its answer is cut with "id: 1\ndata: x1 of e5\n\n"
    And its request ran 1 times

  # The same bytes come from a runner that broke off between two events and from
  # one that was done: it is asked where that is possible.
  Scenario Outline: A stream that nothing ends is asked for where it may be: <route>, its runner <what>
    Given the next stream has neither a length nor chunks and its runner <what>
    When request "e3" asks "/<route>/x"
    Then its answer is <whole> with "<answer>"
    And its request ran <runs> times

    Examples:
      | route | what | whole | answer | runs |
      | stream | breaks off | whole | id: 1\ndata: x1 of e3\n\nid: 2\ndata: x2 of e3\n\nid: 3\ndata: x3 of e3\n\n | 2 |
      | stream | sends all | whole | id: 1\ndata: x1 of e3\n\nid: 2\ndata: x2 of e3\n\nid: 3\ndata: x3 of e3\n\n | 2 |
      | once | breaks off | whole | id: 1\ndata: x1 of e3\n\n | 1 |
      | once | breaks off inside an event | cut | id: 1\ndata: x1 of e3\n\nid: 2\ndata: x | 1 |
      | once | sends all | whole | id: 1\ndata: x1 of e3\n\nid: 2\ndata: x2 of e3\n\nid: 3\ndata: x3 of e3\n\n | 1 |

  # A caller whose whole stream was cut learns so that nothing is missing.
  Scenario: A stream that its caller takes up after its last event is whole
    Given the next stream has neither a length nor chunks and its runner sends all
    When request "e4" asks "/stream/x" to go on after event 3
    Then its answer is whole and empty
    And its request ran 2 times

  Scenario: A draining runner gets no more requests
    When runner "i-desk-0" reports that it is draining
    And 2.5 s pass
    And 6 requests ask "/lookup/x"
    Then none of them ran on "i-desk-0"

  Scenario: A revoked key stops working
    When a configuration without keys is published
    And 2.5 s pass
    And request "f1" asks "/lookup/x"
    Then its status is 401 from the entry
    And its request ran 0 times

  Scenario: Without the store requests are served until the proof of valid keys expires
    When the store is unavailable for 7 s
    And request "g1" asks "/lookup/x"
    Then its status is 200 from the entry
    When 5 s pass
    And request "g2" asks "/lookup/x"
    Then its status is 503 from the entry
    And the entry is not ready
    When 4 s pass
    And request "g3" asks "/lookup/x"
    Then its status is 200 from the entry

  Scenario: The configuration is read again after the store lost its history
    When the store loses its history
    And 2 s pass
    And a configuration without keys is published
    And 2.5 s pass
    And request "h1" asks "/lookup/x"
    Then its status is 401 from the entry

  Scenario: Invalid rows are skipped and logged
    When invalid rows are written
    And an invalid configuration is published
    And 2.5 s pass
    And request "i1" asks "/lookup/x"
    Then its status is 200 from the entry
    When the entry gets SIGTERM
    Then its log names the rows and fields
      | row | field |
      | servers/i-bad-1 | address |
      | servers/i-bad-2 | |
      | servers/i-bad-3 | state |
      | op/config | routes[0].kind |

  # Guards against a second SIGTERM that cuts every answer.
  Scenario Outline: An entry that gets <signals> finishes its running requests
    When a stream of 60 events is under way
    And the entry gets <signals>
    Then the stream is complete
    And the entry ends with status 0

    Examples:
      | signals |
      | SIGTERM |
      | SIGTERM SIGTERM |
      | SIGTERM SIGHUP SIGTERM SIGTERM |

  # Guards against a request that is dropped as the process ends in the middle
  # of its arrival.
  Scenario Outline: A request whose <part> arrives in parts beside a planned stop is answered
    Given the entry is started again with 8 s to end
    When the entry gets SIGTERM
    And 1.5 s pass
    And a caller sends a request up to the middle of its <part>
    And 2 s pass
    And the caller sends the rest of it
    Then the caller reads status 503
    And the entry ends with status 0

    Examples:
      | part |
      | head |
      | body |

  # Guards against whole streams that are cut around a planned stop (issue 54).
  Scenario Outline: A whole stream that only its connection's close ends isn't cut by <signals>
    Given the next stream has neither a length nor chunks and its runner sends all
    When a stream of 60 events is under way
    And the entry gets <signals>
    Then the stream is complete
    And the entry ends with status 0

    Examples:
      | signals |
      | SIGTERM |
      | SIGTERM SIGHUP SIGTERM |

  # Guards against prompts that bring down runner after runner.
  Scenario: A part of prompts that crashes runners is kept from them
    Given runners that crash on the part "bad0" of prompts
    When 70 requests with the part "aa0,bad0" and 70 with "aa0" are sent in turn
    Then at most 8 with the part "bad0" have reached runners
    And the last 10 with "aa0" were served
    And the last 10 with the part "bad0" and all others after the first 500 got 500, except those that reached runners

  # Guards against an entry that runs out of memory.
  Scenario Outline: A runner sends a <what> without end to "<path>": <reader>
    Given runners whose next answer has a <what> without end
    When a caller who <reader> asks "<path>" for 3 s
    Then the memory of the entry has grown by less than 40 MB
    And a request for "/lookup/x" gets 200

    Examples:
      | what | path | reader |
      | head | /lookup/x | reads on |
      | interim answers | /lookup/x | reads on |
      | failure | /post/x | reads on |
      | event | /stream/x | reads on |
      | body | /post/x | reads nothing |
      | body | /once/x | reads nothing |
