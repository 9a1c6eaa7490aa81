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
