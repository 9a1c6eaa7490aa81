Feature: The log of one gateway explains what its planned stop cost callers

  # Guards against answers that count as sent, and whose bytes end with the
  # process: nothing named their requests.
  Scenario Outline: An answer of which bytes are unsent at the end is named: <bytes> bytes
    Given a gateway process whose log is read
    When a caller reads its answer but for <bytes> bytes
    And the process gets SIGTERM
    And 7500 ms pass for it
    Then its log names the answer as unsent: <named>

    Examples:
      | bytes | named |
      | 300 | yes |
      | 0 | no |

  # Guards against connections that end with a request of which no line tells.
  Scenario Outline: A request that is read in part when the process ends is named: <part> is missing
    Given a gateway process whose log is read
    When a caller sends a request whose <part> is missing in part
    And the process gets SIGTERM
    And 7500 ms pass for it
    Then its log tells of "<request>" that its <part> is missing

    Examples:
      | part | request |
      | head | |
      | body | a |

  # Guards against a stop of which nobody can tell what it did to its requests.
  Scenario Outline: The lines of a stop count its requests: <what>
    Given a gateway process whose log is read
    And it must end 4000 ms after a signal
    When a caller's request is sent and not answered
    And the process gets SIGTERM
    And 500 ms later in the stop <what>
    And 7500 ms pass for it
    Then GL1003 tells of 1 request that was sent, and of 4000 ms
    And GL1002 is the last line and tells: <ended>, <left> left

    Examples:
      | what | ended | left |
      | nothing comes | refused:leaving 1 | 1 |
      | its upstream answers | completed 1 | 0 |
      | its upstream breaks it off | refused:connection_reset 1 | 0 |
      | its caller leaves | caller_left:sent 1 | 0 |
      | another caller requests what takes too long | refused:leaving 2 | 1 |

  Scenario Outline: A metric counts cuts by reason and whether in a stop: <stop>
    Given a gateway that reads what its upstreams send
    And its metric of cuts is read
    When a caller requests "draft"
    And its upstream has sent two events
    And the gateway <stop>
    And 500 ms later its upstream resets the connection
    Then the metric counts a cut by "connection_reset", stopping "<stopping>"

    Examples:
      | stop | stopping |
      | gets SIGTERM | true |
      | goes on | false |

  # Guards against a request that has arrived and isn't read before the process
  # ends: its caller sees a reset, and nothing told of it.
  Scenario Outline: A connection that ends in a stop with unread bytes has a line: <what>
    Given a gateway process whose log is read
    And a caller's connection with a real socket on which <what> has arrived
    When the process gets SIGTERM
    And 3000 ms pass for it
    Then GL1211 tells of unread bytes: none
    When 5000 ms pass for it
    Then it has ended: yes
    And GL1211 tells of unread bytes: <told>

    Examples:
      | what | told |
      | a request | 52 |
      | nothing | none |
      | the caller's close | none |

  Scenario: A part of a request behind another that is answered in a stop has a line
    Given a gateway process whose log is read
    When a caller's request is sent and not answered
    And the process gets SIGTERM
    And its caller sends 20 bytes more
    And 3000 ms pass for it
    And its upstream has answered it
    And 5000 ms pass for it
    Then it has ended: yes
    And GL1211 tells that the head of a request is missing
