Feature: A whole stream that is held back is delivered

  A stream is held back until it is on record at which version it began, so
  that its caller can take it up there. One that is whole needs no taking up.

  # Guards against whole streams that are dropped because nothing could be
  # saved before their gateway or their caller's time ended.
  Scenario Outline: A stream is held back, <state>, when <end>
    Given a gateway that reads what its upstreams send
    And it can't save where streams began
    When a caller requests "query"
    And its stream is held back, <state>
    And <end>
    Then the caller's answer is <answer>

    Examples:
      | state | end | answer |
      | whole in chunks | the gateway ends all requests | whole |
      | whole with a length | the gateway ends all requests | whole |
      | whole without a mark | the gateway ends all requests | whole |
      | whole without a mark, its upstream not checked yet | the gateway ends all requests | whole |
      | under way in chunks | the gateway ends all requests | 504 |
      | under way without a mark | the gateway ends all requests | 504 |
      | broken off in chunks | the gateway ends all requests | 504 |
      | broken off inside an event | the gateway ends all requests | 504 |
      | broken off with its process | the gateway ends all requests | 504 |
      | whole in chunks | the caller's time ends | whole |
      | under way in chunks | the caller's time ends | 504 |

  # Guards against whole streams that are thrown away and run once more.
  Scenario Outline: A stream is held back for too long, <state>
    Given a gateway that reads what its upstreams send
    And it can't save where streams began, and has an upstream of the base version
    When a caller requests "query"
    And its stream is held back, <state>
    And it is given up to wait for its record
    Then the caller's answer is <answer>

    Examples:
      | state | answer |
      | whole in chunks | whole |
      | whole with a length | whole |
      | whole without a mark | asked for elsewhere |
      | under way in chunks | asked for elsewhere |
      | broken off in chunks | asked for elsewhere |
      | broken off inside an event | asked for elsewhere |
