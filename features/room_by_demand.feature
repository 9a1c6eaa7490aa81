Feature: Gateways use upstreams according to the demand of all

  # Guards against shares that add up to more than an upstream takes.
  Scenario Outline: <gateways> gateways divide <upstreams> upstreams, seed <seed>
    When <gateways> gateways with drawn demand divide <upstreams> upstreams with drawn room, seed <seed>
    Then the shares of each upstream add up to no more than its room
    And no gateway that asks for more gets less than another one
    And a share takes less than <most> ms to compute

    Examples:
      | gateways | upstreams | seed | most |
      | 2 | 2 | 1 | 20 |
      | 2 | 100 | 2 | 20 |
      | 14 | 27 | 3 | 20 |
      | 60 | 2 | 4 | 20 |
      | 60 | 100 | 5 | 20 |

  # Guards against gateways whose callers get less than those of others, and
  # against room that nobody uses. Each row is run with equal shares as well.
  Scenario Outline: <pattern>, <load> times the capacity
    Given the callers of "<pattern>"
    When they ask for <load> times the capacity, with equal shares and by demand
    Then by demand, the worst zone gets 0.95 of the fraction of the best one
    And by demand, no less is finished in time
    And the shares of an upstream exceeded its slots by at most 1

    Examples:
      | pattern | load |
      | half of the callers at one of 14 gateways | 0.9 |
      | half of the callers at one of 14 gateways | 1.5 |
      | a zone with 60 % of the callers | 0.9 |
      | a zone with 60 % of the callers | 1.5 |
      | waves out of phase between 3 zones | 0.9 |

  # Guards against gateways that take others' room when something goes wrong.
  Scenario Outline: 1 of 4 gateways <event>
    Given 4 gateways of 8 upstreams with 8 slots under 1.2 times their capacity
    When the first one <event>, and 4 s pass
    Then the shares of an upstream exceeded its slots by at most <excess>
    And the others together may use at least <least> of the slots

    Examples:
      | event | excess | least |
      | is silent | 2 | 0.6 |
      | is cut off | 2 | 0.6 |
      | is stopped | 1 | 0.95 |
      | is joined by a new one | 2 | 0.7 |
      | claims a million slots and runs nothing | 2 | 0.6 |

  Scenario: One gateway of an older release keeps the shares as they were
    Given 4 gateways of 8 upstreams with 8 slots, one of an older release
    Then each gateway has the share that it had before

  Scenario: An idle gateway starts a request at once
    Given 60 gateways of 2 upstreams with 4 slots under 1.5 times their capacity
    When an idle gateway gets a request
    Then it is sent at once

  # Guards against less urgent requests that take the slots for which urgent
  # ones wait at another gateway.
  Scenario: A burst of the least urgent beside a steady urgent stream
    Given 4 gateways of 8 upstreams with 8 slots under a steady urgent load of 0.5
    When 400 of the least urgent requests arrive at the last gateway
    Then all urgent requests are finished within 1500 ms

  Scenario: Urgent requests wait at one gateway
    Given 4 gateways of 8 upstreams with 8 slots under 1.2 times their capacity
    When more urgent requests than the slots arrive at the first gateway
    Then from 500 ms later on no other gateway starts a less urgent one while they wait
