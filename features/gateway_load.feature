Feature: What a gateway does while more is asked than its upstreams can do

  # Two engines of 4 slots; an answer's first data comes 250 ms after sending,
  # its end after 1 s, so that 8 requests a second can be served. Answers are
  # due to begin within 400 ms.
  Scenario Outline: <load> times what the engines can do: <case>
    Given a gateway before two engines of 4 slots
    When <load> times what they can do is asked of them for 12 s
    Then at least <used> of what they can do was done
    And at least <timely> of the answers began on time
    And at most one in 10 refused callers was held for more than <held> ms
    And at least <at_once> of the refused callers were told within 25 ms

    Examples:
      | case | load | used | timely | held | at_once |
      | enough room | 0.8 | 0.75 | 1.0 | 0 | 0 |
      | a little too much | 1.2 | 0.9 | 0.85 | 350 | 0 |
      | twice as much | 2.0 | 0.9 | 0.85 | 350 | 0.5 |
      | four times as much | 4.0 | 0.9 | 0.85 | 350 | 0.6 |

  Scenario: A late request that was broken off waits for another run
    Given a gateway before one service upstream of 4 slots, where late ones get no places
    When a "lookup" and 3 times "post" run there, and 450 ms later a "post" waits
    And the upstream breaks the "lookup" off, and 50 ms pass
    Then the "lookup" has no answer yet
    When one "post" is answered
    Then the "lookup" is sent again

  # Longest times to come back are a third of the 5 s that callers have.
  Scenario Outline: When a refused caller is to come back: <case>
    Given a gateway before two engines of 4 slots
    When a request is refused because <reason>
    Then its caller comes back after <least> ms to <most> ms

    Examples:
      | case | reason | least | most |
      | too much is asked | crowded_out | 1160 | 1670 |
      | no upstream was reached | not_connected | 300 | 700 |
      | the gateway leaves | leaving | 300 | 700 |

  Scenario: Late requests wait on while late ones get places
    Given a gateway before two engines of 4 slots
    When 12 requests come at once and no more
    Then all of them are answered
