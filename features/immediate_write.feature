Feature: Data is sent at once where the socket takes it

  # Guards against bytes that are lost, repeated or out of order when a socket
  # takes only a part, and against writes past data that still waits.
  Scenario Outline: <case>
    Given a connection with "<unsent>" unsent, whose socket takes <takes> bytes
    When "abcdef" is written to it
    Then "<sent>" was sent at once and "<left>" waits

    Examples:
      | case | unsent | takes | sent | left |
      | all of it | - | 6 | abcdef | - |
      | a part | - | 2 | ab | cdef |
      | nothing, as the socket is full | - | 0 | - | abcdef |
      | the connection is lost | - | lost | - | abcdef |
      | earlier data waits | xyz | 6 | - | xyzabcdef |
      | the connection is being closed | closing | 6 | - | abcdef |
      | an encrypted connection | TLS | 6 | - | abcdef |
      | another kind of transport | other | 6 | - | abcdef |
