Feature: The end of an answer

  A caller that gets the end of a broken-off answer takes it for a whole one.

  # Guards against a broken-off stream that reaches its caller as complete.
  Scenario Outline: A stream that ends inside an event ends visibly incomplete: <route>, <framing>
    Given a gateway that reads what its upstreams send
    When a caller requests "<route>"
    And the upstream's stream, framed by <framing>, ends inside its third event
    Then the caller's connection ends without the end of the answer
    And the caller has received events 1 to 2

    Examples:
      | route | framing |
      | draft | close |
      | draft | chunks |
      | draft | length |
      | class | close |
