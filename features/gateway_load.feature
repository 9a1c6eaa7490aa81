Feature: A gateway under overload

  # Guards against late answers, unused engines and callers that wait for a
  # refusal. Two engines have 4 slots each; first data comes 250 ms after
  # sending, the end after 1 s, so that the capacity is 8 requests per second.
  # Answers should begin within 400 ms.
  Scenario Outline: <load> times the capacity of the engines: <case>
    Given a gateway with two engines of 4 slots
    When callers send <load> times their capacity for 12 s
    Then at least <used> of their capacity was used
    And at least <timely> of the answers began on time
    And at most one in 10 refused callers waited for more than <held> ms
    And at least <at_once> of the refused callers were refused within 25 ms

    Examples:
      | case | load | used | timely | held | at_once |
      | below capacity | 0.8 | 0.75 | 1.0 | 0 | 0 |
      | slight overload | 1.2 | 0.9 | 0.85 | 350 | 0 |
      | twice as much | 2.0 | 0.9 | 0.85 | 350 | 0.5 |
      | four times as much | 4.0 | 0.9 | 0.85 | 350 | 0.6 |

  Scenario: A late request whose attempt broke waits for another one
    Given a gateway with one service upstream of 4 slots, where late requests get no slots
    When a "lookup" and 3 "post" requests run there, and 450 ms later a "post" waits
    And the upstream breaks the connection of the "lookup", and 50 ms pass
    Then the "lookup" has no answer yet
    When one "post" is answered
    Then the "lookup" is sent again

  # The longest retry delay is a third of the 5 s that callers wait.
  Scenario Outline: Retry delay of a refused caller: <case>
    Given a gateway with two engines of 4 slots
    When a request is refused because <reason>
    Then its caller is told to retry after <least> ms to <most> ms

    Examples:
      | case | reason | least | most |
      | overload | crowded_out | 1160 | 1670 |
      | no upstream was reached | not_connected | 300 | 700 |
      | the gateway drains | leaving | 300 | 700 |

  Scenario: Late requests keep waiting while late ones get slots
    Given a gateway with two engines of 4 slots
    When 12 requests arrive at once and no more
    Then all of them are answered
