Feature: Following the configuration

  A daemon must neither miss a configuration nor go back to an older one when
  messages are lost, late or damaged, or when the store is down or stale.

  Scenario Outline: Only a whole and newer configuration comes into force
    Given a feed at generation 5 whose peer says it holds generation 7
    When the peer sends <snapshot>
    Then the feed is at generation <generation> and <refused> snapshots were refused

    Examples:
      | snapshot                       | generation | refused |
      | generation 7                   | 7          | 0       |
      | generation 6                   | 6          | 0       |
      | generation 8                   | 8          | 0       |
      | generation 5                   | 5          | 0       |
      | generation 4                   | 5          | 0       |
      | changes to generation 7        | 7          | 0       |
      | changes from an unknown base   | 5          | 0       |
      | damaged changes                | 5          | 1       |
      | malformed changes              | 5          | 1       |
      | a damaged snapshot             | 5          | 1       |
      | too long a snapshot            | 5          | 1       |
      | one that can't be applied      | 5          | 1       |

  Scenario Outline: A fleet reaches the newest generation despite faults
    Given 12 entries and 60 agents that follow the configuration
    When generation 2 is accepted with <fault>
    Then after <seconds> seconds every daemon has generation 2 in force
    And the fleet read the head at most <reads> times a second
    And at most <fetches> daemons read the snapshot from the store

    Examples:
      | fault                                    | seconds | reads | fetches |
      | everything working                       | 1       | 200   | 6       |
      | the store down right after               | 1       | 200   | 6       |
      | the publisher dead right after           | 3       | 200   | 6       |
      | 3 in 10 messages lost                    | 4       | 200   | 72      |
      | stale reads of the head                  | 1       | 200   | 6       |
      | agents paused for 2 seconds              | 4       | 200   | 72      |
      | the store down and 3 in 10 messages lost | 8       | 200   | 72      |

  Scenario Outline: A new daemon starts
    Given a new feed, <store>, in a fleet of <fleet>
    When peers at <generations> come up
    Then the feed is <state>

    Examples:
      | store                    | fleet | generations | state                  |
      | the store up             | 50    | none        | ready at generation 5  |
      | the store up             | 50    | 4 4 4       | ready at generation 5  |
      | the store with stale reads | 50  | none        | ready at generation 5  |
      | the store down           | 50    | none        | not ready              |
      | the store down           | 50    | 4           | not ready              |
      | the store down           | 50    | 4 4         | not ready              |
      | the store down           | 50    | 4 5 4       | ready at generation 5  |
      | the store down           | 50    | 0 0 0 0     | not ready              |
      | the store down           | 0     | 5           | not ready              |
      | the store down           | 2     | 5           | ready at generation 5  |
      | the store down           | 3     | 5           | not ready              |

  Scenario Outline: A message with a newer generation waits until it is in force
    Given a feed at generation 5 whose peer says it holds generation <peer>
    When generation <wanted> is required
    And the peer answers after <answer_ms> ms
    Then after 6 seconds the requirement is <result>

    Examples:
      | peer | wanted | answer_ms | result  |
      | 5    | 5      | 0         | met     |
      | 5    | 4      | 0         | met     |
      | 7    | 7      | 400       | met     |
      | 7    | 8      | 400       | not met |
      | 7    | 7      | 90000     | not met |

  Scenario Outline: The fleet's reads stay within the limit at any size
    Given a feed in a fleet of <fleet>
    Then it reads the head every <interval_ms> ms on average

    Examples:
      | fleet | interval_ms |
      | 0     | 1000        |
      | 8     | 1000        |
      | 200   | 1000        |
      | 2000  | 10000       |
      | 12000 | 60000       |

  Scenario Outline: A delta is sent instead of the whole snapshot
    Given a feed whose configuration has 1000 teams
    When a peer that is <behind> generations behind requests the newest
    Then it is sent <what>, at most <bytes> bytes

    Examples:
      | behind | what         | bytes   |
      | 1      | changes      | 300     |
      | 5      | changes      | 1500    |
      | 64     | changes      | 20000   |
      | 70     | the snapshot | 80000 |

  Scenario: Generations only increase under seeded faults
    When 20 seeded fleets go through publishes, losses, pauses, outages and restarts
    Then no daemon's generation ever decreased
    And every fleet ends at its newest generation

  # Guards against a damaged snapshot in the store that nobody hears of.
  Scenario: A damaged snapshot in the store is refused, counted and logged
    Given a feed at generation 5 whose peer says it holds generation 5
    When the store is up with generation 7, whose snapshot is damaged
    Then the feed is at generation 5 and 1 snapshots were refused
    And the refusal of generation 7 is logged

  # Guards against a late snapshot that ends the wait for another peer.
  Scenario: A late answer of a peer doesn't end the wait for the next one
    Given a feed at generation 5 whose peer says it holds generation 5
    And two peers that say they hold generation 7
    When the first that was asked stays silent and answers late with generation 4
    And the second answers 300 ms after it was asked
    Then the feed is at generation 7 and 0 snapshots were refused
    And no snapshot was asked of a peer twice

  Scenario Outline: A feed that is stopped leaves nothing pending: <while>
    Given a feed at generation 5 whose peer says it holds generation 7
    When <while>
    And the feed is stopped
    Then it has no timers and fetches nothing

    Examples:
      | while |
      | it waits for the peer's snapshot |
      | it waits after a failed fetch |

  Scenario: New daemons don't count each other as sources of a generation
    Given 3 new daemons, the store down and one peer at generation 4 of 5
    Then none of the new daemons becomes ready

  Scenario Outline: Mutants of the feed are caught
    Then the check "<check>" fails with the mutant "<mutant>"

    Examples:
      | mutant                                        | check             |
      | an older generation comes into force          | older snapshot    |
      | the hash isn't checked                        | damaged snapshot  |
      | the head is read without confirming           | stale start       |
      | a new daemon states what it isn't sure of     | witnesses         |
      | the first peer is believed                    | one witness       |
      | peers aren't told                             | store outage      |
