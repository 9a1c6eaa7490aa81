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
