Feature: A whole stream isn't cut because nothing proves its end

  # Guards against whole streams without a length or chunks that are cut where
  # no upstream can be asked whether they are whole (issue 54).
  Scenario Outline: A whole stream that only its connection's close ends isn't cut: <route>, <obstacle>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>" and nobody can be asked for more: <obstacle>
    And the upstream's stream, framed by <framing>, ends after event 3
    And the other upstream answers so, if it is there to be asked
    And 5100 ms pass for the gateway
    Then the caller's answer is whole
    And the caller has received events 1 to 3

    Examples:
      | route | obstacle | framing |
      | draft | it may not be resumed | close |
      | draft | it may not be resumed | HTTP/1.0 |
      | query | the attempts are used up | close |
      | query | the attempts are used up | HTTP/1.0 |
      | query | the retry budget is used up | close |
      | query | no upstream is left | close |
      | query | the other upstream pauses | close |
      | query | the other upstream answers nothing in time | close |
      | query | the other upstream resets the connection | close |
      | query | the other upstream fails with status 500 | close |
      | query | the other upstream answers with status 404 | close |
      | query | the other upstream refuses it as not run | close |

  # The same at the end of a planned stop, where a rule counts it.
  Scenario Outline: A whole stream isn't cut at the end of a planned stop: <route>, <state>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>" and nobody can be asked for more: <state>
    And the upstream's stream, framed by close, ends after event 3
    And the other upstream answers so, if it is there to be asked
    And the gateway ends all requests
    Then the caller's answer is whole
    And the caller has received events 1 to 3

    Examples:
      | route | state |
      | draft | it isn't known yet whether the upstream lives |
      | query | it isn't known yet whether the upstream lives |
      | query | the other upstream answers nothing in time |
      | query | no upstream is left |

  Scenario: A plain answer that ended isn't lost at the end of a planned stop
    Given a gateway that reads what its upstreams send
    When a caller requests "post" and nobody can be asked for more: it isn't known yet whether the upstream lives
    And the upstream answers, framed by close: whole
    And the gateway ends all requests
    Then the caller's answer is whole

  # Guards against a whole stream that is taken for a stalled one while its
  # upstream is checked, so that what was seen of its end is forgotten.
  Scenario Outline: A stream that has ended isn't a stalled one: its upstream <lives>
    Given a gateway that reads what its upstreams send
    When a caller requests "query" and nobody can be asked for more: it isn't known yet whether the upstream lives
    And the upstream's stream, framed by close, is silent after event 3
    And 1450 ms pass for the gateway
    And the upstream closes the connection
    And 200 ms pass for the gateway
    And the check shows that the upstream <lives>
    And the next upstream, asked to go on after event 3, has nothing to add, framed by <framing>
    Then the caller's answer is <answer>

    Examples:
      | lives | framing | answer |
      | lives | close | whole |
      | lives | chunks | whole |
      | has ended | close | cut |
      | has ended | chunks | whole |

  # What is known to be broken stays cut.
  Scenario Outline: A stream that is known to be broken is cut where nobody can be asked: <route>, <how>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>" and nobody can be asked for more: <obstacle>
    And the upstream's stream, framed by close, <how>
    And the other upstream answers so, if it is there to be asked
    And the gateway ends all requests
    Then the caller's answer is cut

    Examples:
      | route | obstacle | how |
      | draft | it may not be resumed | is reset after event 2 |
      | draft | it may not be resumed | ends inside event 3 |
      | draft | it may not be resumed | ends with its process after event 2 |
      | draft | it may not be resumed | is silent after event 2 |
      | query | the attempts are used up | is reset after event 2 |
      | query | the attempts are used up | ends inside event 3 |
      | query | the attempts are used up | ends with its process after event 2 |
      | query | the other upstream begins an event | ends after event 2 |
