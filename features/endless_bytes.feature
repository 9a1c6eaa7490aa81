Feature: Bytes without end from a server in trouble

  They may come in a head or in a body, and go on until the reader closes. What
  is kept of them is bounded, and the caller gets an answer.

  # Guards against memory that grows with what an upstream sends.
  Scenario Outline: An upstream sends <what> without end to "<route>"
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>" of it
    And the upstream sends <what> without end
    Then the gateway has closed that connection after at most 1 MB
    And it kept at most 512 kB of it
    And the caller's answer is <answer>

    Examples:
      | what | route | answer |
      | a status line | post | 502 |
      | header lines | post | 502 |
      | interim answers | post | 502 |
      | a chunk size | post | 502 |
      | trailers | post | 502 |
      | the body of a failure | post | 502 |
      | the body of a failure | draft | 502 |
      | the body of a refusal as not run | post | not yet there |
      | the body of an answer without a seal | post | 502 |
      | an event | query | not yet there |

  # Guards against a caller that reads slowly, for whom all is kept.
  Scenario Outline: A caller reads nothing while its answer goes on without end: <route>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>" of it
    And the caller reads nothing
    And the upstream sends its body without end
    Then the gateway reads no more of it

    Examples:
      | route |
      | post |
      | draft |
      | query |

  Scenario: An answer that a slow caller reads goes on when it does
    Given a gateway that reads what its upstreams send
    When a caller requests "draft" of it
    And the caller reads nothing
    And the upstream sends its body without end
    And the caller reads on
    Then the gateway reads on as well

  # Guards against a slow caller whose stream is taken for a silent one.
  Scenario: A stream that a slow caller holds up is not moved elsewhere
    Given a gateway that reads what its upstreams send
    When a caller requests "query" of it
    And the caller reads nothing
    And the upstream sends its body without end
    And 4 s pass for the caller
    Then the upstreams have got 1 request
    When the caller reads on
    And 1 s passes for the caller
    Then the upstreams have got 1 request

  # Guards against memory that grows with what a store or a report sends.
  Scenario: A server that is called for JSON sends a body without end
    Given a client of a JSON server
    When the server sends a body without end
    Then the call has failed with "answer_too_long" after at most 9 MB

  # Guards against values that take far more memory than their text, and
  # against several answers at once.
  Scenario Outline: <calls> calls of <whose> client get <what>
    Given <whose> client that calls a JSON server
    When <calls> calls of it get <what>
    Then all calls have failed with "answer_too_long"
    And the calls held at most <peak> MB at once

    Examples:
      | whose | calls | what | peak |
      | a gateway's | 1 | a body without end | 12 |
      | a gateway's | 12 | a body without end | 24 |
      | a gateway's | 1 | 2000000 empty lists | 16 |
      | a gateway's | 1 | 800000 empty names | 16 |
      | an agent's | 1 | a body without end | 2 |
      | an agent's | 1 | 100000 empty lists | 2 |

  # Guards against tracebacks of errors that keep what was read, until garbage
  # is collected.
  Scenario Outline: Nothing of an answer stays once its call has failed: <what>
    Given a gateway's client that calls a JSON server
    When it reads rows 6 times while no garbage is collected, and gets <what>
    Then it holds at most 2 MB after these calls

    Examples:
      | what |
      | no JSON |
      | 2000000 empty lists |
      | an object without rows |
      | an object whose rows are a text |

  Scenario Outline: A long answer that is valid is read: <what>
    Given <whose> client that calls a JSON server
    When 30 calls of it get <what>, one after the other
    Then all calls have succeeded

    Examples:
      | whose | what |
      | a gateway's | 500 rows of 2700 bytes |
      | an agent's | 1000 runs |

  # Guards against parts of two answers that are joined.
  Scenario: A long plain answer that is broken off is not continued by another
    Given a gateway that reads what its upstreams send
    When a caller requests "lookup" of it
    And the upstream breaks off after 300 kB of 400 kB
    Then the upstreams have got 1 request
    And the caller's answer is cut

  # Guards against memory that grows with what a caller sends: what arrives
  # behind a request waits until that one is answered.
  Scenario Outline: A caller sends <what> without end
    Given a gateway that reads what its upstreams send
    When a caller sends <what> without end
    Then the gateway <then> after at most 1 MB
    And the caller has got <status>

    Examples:
      | what | then | status |
      | a request line | has closed | 431 |
      | header lines | has closed | 431 |
      | a chunk size | has closed | 431 |
      | trailers | has closed | 431 |
      | bytes behind a request | reads no more of it | nothing |
      | requests behind a request | reads no more of it | nothing |
      | requests, and reads no answer | reads no more of it | 404 |

  Scenario: What a caller sent behind a request is read once that is answered
    Given a gateway that reads what its upstreams send
    When a caller sends requests behind a request without end
    And its request is answered
    Then the gateway has got its next request
    When all that it sent is answered
    Then the gateway reads on from the caller

  # Guards against work within work for each request that has arrived.
  Scenario: Many requests of a caller that arrive at once are answered
    Given a gateway that reads what its upstreams send
    When a caller sends 2000 requests in one piece that are refused at once
    Then it has got 2000 answers

  # Guards against work that one connection causes before others have their
  # turn: sound requests waited for seconds.
  Scenario Outline: A connection of <whose> that brings chunks of <size> bytes
    Given a gateway that reads what its upstreams send
    When <whose> sends 100 reads of chunks of <size> bytes
    Then the largest read has at most <first> chunks
    And the last reads have <least> to <most> bytes

    Examples:
      | whose | size | first | least | most |
      | an upstream | 1 | 1400 | 256 | 1024 |
      | an upstream | 2 | 1400 | 256 | 1024 |
      | an upstream | 40 | 200 | 1024 | 8192 |
      | an upstream | 4000 | 20 | 65536 | 65536 |
      | a caller | 1 | 1400 | 256 | 1024 |
      | a caller | 2 | 1400 | 256 | 1024 |
      | a caller | 4000 | 70 | 200000 | 262144 |
