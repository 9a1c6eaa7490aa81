Feature: The end mark of a stream waits until the whole answer is known

  Scenario Outline: A stream cut into parts of <size> bytes
    Given a streamed request whose answer comes in parts of <size> bytes
    Then before its end the caller has all but the end mark
    And after its end the caller has every byte in order

    Examples:
      | size |
      | 1 |
      | 3 |
      | 7 |
      | 14 |
      | 1000 |

  Scenario: Parts are gathered, but one after a quiet time is sent at once
    Given a dispatcher with a run whose answer has begun
    When 100 quiet ms with their ticks pass and a part comes
    Then the part is sent at once
    When another part comes 5 ms later
    Then that part waits
    When 15 more ms pass with their ticks
    Then that part is sent
