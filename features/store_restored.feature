Feature: The store comes back from an older copy

  What was written since is gone, and its versions are given out again. What a
  gateway has learned must not be undone by what the copy still holds.

  Background:
    Given a gateway that follows a store with configuration 5
    And upstreams "a,b,c" that write their rows each second

  Scenario: A change that falls on versions given out again is not missed
    When the store is cut off from the gateway
    And the store is away for 0 ms and comes back from a copy 2000 ms old
    And configuration 6 is written
    And 100 other rows are written
    And the gateway can wait for changes again
    And 2 s pass at the store
    And the gateway reaches the store again
    And 1 s pass at the store
    Then configuration 6 is in force

  Scenario Outline: A configuration that the copy has lost stays in force: away <away> ms, copy <copy> ms old
    When configuration 6 is written
    And 1 s pass at the store
    And the store is away for <away> ms and comes back from a copy <copy> ms old
    And its operators write again after 3000 ms
    And 1 s pass at the store
    Then configuration 6 is in force
    And no key is confirmed since the store went away
    When 4 s pass at the store
    Then keys are confirmed again

    Examples:
      | away | copy |
      | 0 | 1500 |
      | 700 | 1500 |
      | 2000 | 4000 |

  Scenario: A configuration that only a peer has seen prevents a confirmation
    When a peer tells of configuration 6
    And 2 s pass at the store
    Then no key is confirmed since the peer told of it
    When configuration 6 is written
    And 1 s pass at the store
    Then keys are confirmed again

  # Guards against a withdrawal that no gateway has seen and the copy undoes.
  Scenario Outline: A gateway that was cut off for <missed> ms lets the operators write first after a restore
    When the store is cut off from the gateway
    And <missed> ms pass at the store
    And the store is away for 0 ms and comes back from a copy 2000 ms old
    And the gateway reaches the store again
    And 700 ms pass at the store
    Then keys are not confirmed since the restore
    When 1 s pass at the store
    Then keys are confirmed since the restore

    Examples:
      | missed |
      | 0 |
      | 500 |
      | 3000 |

  Scenario: An upstream that had ended does not come back from the copy
    When upstream "b" ends
    And 2 s pass at the store
    And the store is away for 500 ms and comes back from a copy 3500 ms old
    And 1 s pass at the store
    Then upstreams "a,c" are usable
    And the log tells that row "b" has returned
    When 10 s pass at the store
    Then upstreams "a,c" are usable

  Scenario: An upstream that had said that it drains does not come back ready
    When upstream "b" drains
    And 1 s pass at the store
    And the store is away for 500 ms and comes back from a copy 2500 ms old
    And 1 s pass at the store
    Then upstreams "a,c" are usable

  # Guards against a pause or a leaving that is forgotten as the copy holds the
  # row of an earlier life.
  Scenario Outline: What an upstream has said holds although the copy has its earlier life: <said>
    When upstream "b" starts again under its name
    And 2 s pass at the store
    And upstream "b" <said>
    And the store is away for 500 ms and comes back from a copy 3500 ms old
    And 600 ms pass at the store
    Then upstreams "a,c" take requests
    And upstream "b" is known by its start after
    When 1 s pass at the store
    Then upstreams "a,c" take requests

    Examples:
      | said |
      | asks for a pause of 8 s |
      | says that it is leaving |

  Scenario Outline: An upstream that the copy lacks is kept until it writes again: away <away> ms
    When upstream "d" starts
    And 1 s pass at the store
    And the store is away for <away> ms and comes back from a copy 2500 ms old
    And 300 ms pass at the store
    Then upstreams "a,b,c,d" are usable
    When 3 s pass at the store
    Then upstreams "a,b,c,d" are usable
    And the log tells that row "d" was lost

    Examples:
      | away |
      | 0 |
      | 500 |

  # Guards against a row that is held back although it is news.
  Scenario Outline: What an upstream writes before the gateway reads the list again counts: <news>
    When the store is cut off from the gateway
    And the store is away for 0 ms and comes back from a copy 2000 ms old
    And upstream "b" <news>
    And the gateway reaches the store again
    And 1 s pass at the store
    Then upstreams "<usable>" take requests
    And upstream "b" is known by its start <known>

    Examples:
      | news | usable | known |
      | writes at once that it drains | a,c | before |
      | writes at once that it has started again | a,b,c | after |

  # Guards against an upstream that lives and is never used again.
  Scenario: An upstream that was taken for ended and lives is used again
    When upstream "b" is silent until its row is gone, and lives
    And 2 s pass at the store
    Then upstreams "a,c" are usable
    When the store is away for 500 ms and comes back from a copy 3500 ms old, which has "b"
    And 1 s pass at the store
    Then upstreams "a,c" are usable
    When 5 s pass at the store
    Then upstreams "a,b,c" are usable

  Scenario Outline: The list is read again when one that was left out may count: after <wait> ms
    Given a list of upstreams whose registrations expire after 4000 ms
    When upstream "b" ends, and a restore brings it back
    And the store is back from another outage <outage> ms later
    And the list is looked at <wait> ms after that
    Then it <needs> be read although it is unchanged

    Examples:
      | outage | wait | needs |
      | 0 | 3900 | need not |
      | 0 | 4100 | must |
      | 3000 | 3900 | need not |
      | 3000 | 4100 | must |

  Scenario: An upstream that ended and lives again under its name is used again
    When upstream "b" ends
    And 2 s pass at the store
    And the store is away for 500 ms and comes back from a copy 3500 ms old
    And upstream "b" starts
    And 3 s pass at the store
    Then upstreams "a,b,c" are usable

  Scenario Outline: The gateway's own row is written again soon: <drills> drills in a row
    When the store is restored from a copy 4 s old, <drills> times, 500 ms apart
    And 1 s pass at the store
    Then the store has the gateway's row
    And the log tells of <drills> restores

    Examples:
      | drills |
      | 1 |
      | 2 |
      | 3 |

  Scenario: A gateway that can't reach the store hears of the restore from a peer
    When the store is cut off from the gateway
    And a peer tells of timeline 3
    And an answer of timeline 2 arrives late
    Then the late answer is refused
    And the configuration is read as a whole next

  # Guards against an unreadable timeline that nobody hears of.
  Scenario: A timeline that can't be read is taken as unknown and logged once
    When the store tells its timeline as "seven", 3 times
    Then the log tells of it once, with "seven"
    And the log tells of no restore

  Scenario: A timeline that rises by more than one is one restore
    When the store is restored from a copy 4 s old, 3 times, 0 ms apart
    And 1 s pass at the store
    Then the log tells of 1 restores
    And the store has the gateway's row

  # The row with its saved use is lost, and the gateway is restarted.
  Scenario: A team gets no second allowance when a gateway's saved use is lost
    When this gateway uses a team's whole allowance and a peer hears of it
    And this gateway is restarted and finds no saved use
    Then both gateways together grant no more than the allowance
    And the log tells that its use was lost, and what a peer told

  Scenario: A new gateway without saved use grants soon
    When another gateway starts that has never been heard
    Then it grants at least a third of an allowance after 1000 ms

  Scenario Outline: A gateway that starts hears its peers before it is ready: <peers>
    When a gateway with <peers> starts after the restore
    Then it is ready after <wait> ms

    Examples:
      | peers | wait |
      | no peers | 0 |
      | a peer that answers after 180 ms | 200 |
      | a peer that speaks after 180 ms and doesn't answer | 700 |
      | a silent peer | 700 |

  # Guards against a gateway that starts after a restore of the store, which it
  # can't know of, and accepts a key that its peers know to be withdrawn.
  Scenario Outline: A configuration is not confirmed once a newer one is known that can't be read: <when>
    Given a gateway that has had configuration 7 confirmed for <age> ms
    When a peer tells that it has configuration 8
    Then the configuration is confirmed: <at once>
    When the store is read and holds configuration 7
    Then the configuration is confirmed: no
    When the store is read and holds configuration 8
    Then the configuration is confirmed: yes

    Examples:
      | when | age | at once |
      | just after the start | 100 | no |
      | long after the start | 9000 | yes |

  Scenario: An answer of the store from before a newer configuration was known proves nothing against it
    Given a gateway that has had configuration 7 confirmed for 9000 ms
    When a peer tells that it has configuration 8
    And the store was read 10 ms before and held configuration 7
    Then the configuration is confirmed: yes

  # Guards against a configuration that comes back from the copy, where all that
  # knew the newer one have ended (review/9).
  Scenario Outline: No key is confirmed by an old configuration if all gateways start after a restore: <away>, <copy>, <pause>
    Given 2 gateways and engines of versions "v1 v1"
    When the gateways have had configuration 6 in force for <since> ms
    And the store goes away for <away> ms and comes back from a copy <copy> ms old
    And all gateways are killed and start again after <pause> ms
    Then no gateway confirms a configuration before 6 is written again
    And all gateways confirm configuration 6 within 6000 ms

    Examples:
      | since | away | copy | pause |
      | 3400 | 1000 | 4000 | 500 |
      | 3400 | 1000 | 4000 | 1000 |
      | 3400 | 1000 | 4000 | 2000 |
      | 3400 | 0 | 4000 | 500 |
      | 2000 | 2000 | 2500 | 500 |

  # Guards against keys that are refused for nothing.
  Scenario Outline: Gateways that start confirm keys soon: <when>
    Given 2 gateways and engines of versions "v1 v1"
    When <when>
    And all gateways are killed and start again after 500 ms
    Then all gateways confirm configuration 5 within 600 ms

    Examples:
      | when |
      | 2000 ms pass at all gateways |
      | the store was restored from a copy 5000 ms ago |
