Feature: The runners of the stand-in Lakeshore platform

  # Guards against a count of answers to misdirect that falls below zero.
  Scenario Outline: Requests for another runner don't use up injected misdirections: <planned> planned
    Given a stand-in runner that is to misdirect <planned> requests
    When 3 requests for another runner arrive
    And <own> requests for it arrive
    Then <refused> of those for it are misdirected

    Examples:
      | planned | own | refused |
      | 0 | 2 | 0 |
      | 1 | 2 | 1 |
      | 2 | 3 | 2 |

  # Guards against an event that the stream doesn't have.
  Scenario Outline: An unframed stream that breaks off has no event after the last: from <first> of <last>
    Given a stand-in runner that breaks off the next stream without framing
    When it is asked for events <first> to <last>
    Then it sends <whole> whole events and <half> half ones, and closes the connection

    Examples:
      | first | last | whole | half |
      | 1 | 3 | 1 | 1 |
      | 2 | 3 | 1 | 1 |
      | 3 | 3 | 0 | 1 |
      | 4 | 3 | 0 | 0 |

  # Seed 6108 of the soak: an attempt that asks what follows the last event.
  Scenario Outline: A stream without a mark of its end has no event after the last: <change>, from <first> of <last>
    Given a runner with the change "<change>"
    When it is asked for events <first> to <last>
    Then it sends <count> events

    Examples:
      | change | first | last | count |
      | die_unframed | 1 | 3 | 1 |
      | die_unframed | 3 | 3 | 1 |
      | die_unframed | 4 | 3 | 0 |
      | close_unframed | 1 | 3 | 1 |
      | close_unframed | 4 | 3 | 0 |
      | whole_unframed | 1 | 3 | 3 |
      | whole_unframed | 4 | 3 | 0 |

  # Guards against a soak test that counts an answer as one that said that its
  # runner is leaving, though it didn't (seed 8039).
  Scenario Outline: An answer without a length has what its runner says of itself: <change>, leaving <leaving>
    Given a runner with the change "<change>"
    And the runner is leaving "<leaving>" and names the limit <limit>
    When it is asked for events 1 to 3
    Then the head of its answer says leaving "<leaving>" and limit <limit>

    Examples:
      | change | leaving | limit |
      | break_unframed | yes | 3 |
      | close_unframed | yes | 3 |
      | whole_unframed | yes | 3 |
      | die_unframed | yes | 3 |
      | crash_part | yes | 3 |
      | break_unframed | no | 0 |
      | close_unframed | no | 0 |
      | whole_unframed | no | 0 |
      | die_unframed | no | 0 |
      | crash_part | no | 0 |

  # Guards against a soak test that takes a broken answer for a whole one, or
  # the reverse, as the ledger doesn't tell how the runner ended it.
  Scenario Outline: The ledger tells how an answer ended: <change>, from <first> of <last>
    Given a runner with the change "<change>"
    When it is asked for events <first> to <last>
    Then its ledger says broken off "<broken>" and closed after "<closed>"

    Examples:
      | change | first | last | broken | closed |
      | close_unframed | 1 | 3 | yes | 1 |
      | close_unframed | 3 | 3 | no | 3 |
      | whole_unframed | 1 | 3 | no | 3 |
      | break_unframed | 1 | 3 | yes | no |
      | die_unframed | 1 | 3 | yes | no |
      | crash_part | 1 | 3 | yes | no |
      | lose_answers | 1 | 3 | yes | no |
      | cut_after | 1 | 3 | yes | no |
      | refuse | 1 | 3 | no | no |

  # Guards against a soak test in which unframed answers are rarer than planned.
  Scenario Outline: Some of a runner's answers have neither a length nor chunks: of <service>, each <every>
    Given a runner of "<service>" that leaves out framing in each <every> answers
    When it is asked 4 times for events 1 to 3
    Then <count> of its answers are whole and unframed

    Examples:
      | service | every | count |
      | model | 0 | 0 |
      | model | 1 | 4 |
      | model | 2 | 2 |
      | desk | 0 | 0 |
      | desk | 2 | 2 |
