Feature: Streaming of answers to the entry and the caller
  A caller that has the end marker takes its answer as complete. So the entry
  withholds the marker until the run has ended, also if the marker is split
  between chunks.

  Scenario Outline: A stream that arrives in parts of <size> bytes
    Given a streamed request whose answer arrives in parts of <size> bytes
    Then before the end of the run the caller has all but the end marker
    And after the end of the run the caller has every byte in order

    Examples:
      | size |
      | 1 |
      | 3 |
      | 7 |
      | 14 |
      | 1000 |

  Scenario: Parts are batched, but the first part after a pause is sent at once
    Given a dispatcher with a run whose response has begun
    When a part arrives after 100 ms of ticks
    Then the part is sent at once
    When another part arrives 5 ms later
    Then that part is buffered
    When another 15 ms of ticks pass
    Then that part is sent
