Feature: Gateways tell each other of roll-outs in datagrams of one packet

  # Guards against announcements that IP splits into fragments, of which one
  # lost loses all, and against counts that are never told.
  Scenario Outline: <cells> counts beside <teams> teams, names of <name> characters
    When a gateway tells 2 phases and <cells> counts beside <teams> teams, with names of <name> characters
    Then its datagram has at most <most> bytes
    And it tells both phases, the last count and <least> or more counts, as they were

    Examples:
      | cells | teams | name | most | least |
      | 0 | 0 | 8 | 1400 | 0 |
      | 1 | 0 | 8 | 1400 | 1 |
      | 24 | 0 | 8 | 1400 | 12 |
      | 24 | 20 | 8 | 1400 | 5 |
      | 500 | 0 | 8 | 1400 | 12 |
      | 24 | 20 | 40 | 1400 | 1 |
      | 24 | 60 | 8 | 1850 | 1 |

  # Guards against counts that no process can have, which would be added up.
  Scenario Outline: Counts with <what> are left out
    When a gateway tells counts with <what>
    Then its other counts are learned, and these are not

    Examples:
      | what |
      | more failures than answers |
      | a negative number of failures |
      | a negative number of answers |
      | a negative number of times |
      | more times than there are |
      | no version |
      | no upstream |
      | no times |

  Scenario Outline: <what> tells nothing
    When a gateway tells <what>
    Then nothing is learned of roll-outs

    Examples:
      | what |
      | a roll-out without a service |
      | a roll-out without an order |
      | no incarnation |
      | no roll-outs |

  # Guards against a datagram that an earlier release can't read.
  Scenario Outline: A release without roll-outs reads <what>
    When a gateway tells 2 phases and 3 counts beside 2 teams, with names of 8 characters
    Then a release without roll-outs reads <what> as before

    Examples:
      | what |
      | the announcement |
      | the answer to a question |
