Feature: Agents allocate the slots of their upstreams to gateways

  Scenario Outline: <case>
    When <slots> slots, <unclaimed> of them used without a claim, are allocated to "<claims>"
    Then the gateways may start "<starts>"

    # A claim is running/waiting by urgency.
    Examples:
      | case | slots | unclaimed | claims | starts |
      | idle slots are distributed | 8 | 0 | 0/0 0/0 | 4 4 |
      | full | 8 | 0 | 4/2 4/5 | 0 0 |
      | urgent requests go first | 8 | 0 | 4/0,3 3/1,0 | 0 1 |
      | gateways take turns within an urgency | 8 | 0 | 3/5 2/5 | 2 1 |
      | spare slots after waiting requests | 7 | 0 | 1/1 1/0 | 3 2 |
      | unclaimed requests count | 8 | 3 | 2/0 2/2 | 0 1 |
      | more running than slots | 4 | 0 | 3/1 3/1 | 0 0 |
      | no claims | 4 | 0 | | |
      | spare slots go to the same zone first | 2 | 0 | 0/0 near:0/0 0/0 near:0/0 | 0 1 0 1 |
      | then to others | 6 | 0 | 0/0 near:0/0 0/0 near:0/0 | 1 2 1 2 |
      | urgent requests go before the same zone | 1 | 0 | 0/1 near:0/0 | 1 0 |

  Scenario Outline: With shares by demand, <case>
    When <slots> slots, <unclaimed> of them used without a claim, are allocated by demand to "<claims>"
    Then the gateways may start "<starts>"

    Examples:
      | case | slots | unclaimed | claims | starts |
      | urgent requests go first | 8 | 0 | 4/0,3 3/1,0 | 0 1 |
      | slots follow what waits within an urgency | 40 | 0 | 0/60 0/30 0/10 | 24 12 4 |
      | slots follow what runs as well | 40 | 0 | 20/40 2/28 0/10 | 4 10 4 |

  # Guards against control traffic that grows with the number of gateways
  # instead of with the use of the upstream.
  Scenario: One start changes one grant
    Then 1 grants change when any of 30 idle gateways starts one
    And two upstreams prefer different ones of 30 gateways

  # Guards against overload and idle slots when gateways get unequal shares of
  # the requests. Datagrams take 1 ms, some are lost; each request runs 50 to
  # 150 ms. Each gateway may start one request on a grant that is being
  # withdrawn, so that as many requests may run in excess of the 8 slots.
  Scenario Outline: An upstream of 8 slots under <load> times its capacity: <case>
    Given <count> gateways and the agent of an upstream of 8 slots
    And <lost> of all datagrams are lost
    When they receive <load> times its capacity for 5 s
    Then at most <most> requests ran there concurrently
    And at least <least> of its slot time was used
    And <case>

    Examples:
      | count | load | lost | most | least | case |
      | 4 | 0.5 | 0.0 | 12 | 0.45 | no request waited over 100 ms |
      | 4 | 2.0 | 0.0 | 12 | 0.9 | urgent requests waited under 60 ms |
      | 4 | 2.0 | 0.1 | 12 | 0.85 | urgent requests waited under 150 ms |
      | 8 | 2.0 | 0.0 | 16 | 0.9 | urgent requests waited under 60 ms |

  Scenario: A gateway without a live agent uses its share of the slots
    Given 4 gateways and the agent of an upstream of 8 slots
    When the agent dies and they receive 2.0 times its capacity for 5 s
    Then at most 16 requests ran there concurrently
    And at least 0.8 of its slot time was used

  Scenario: A restarted agent receives the running requests before it grants
    Given 4 gateways and the agent of an upstream of 8 slots
    When the agent is restarted after 2 s of 2.0 times its capacity
    Then at most 12 requests ran there concurrently
    And at least 0.8 of its slot time was used

  # Guards against engines that are overfilled or idle when the gateway that
  # grants their slots dies: a newly chosen one doesn't know at first what the
  # others run.
  Scenario Outline: Another gateway grants after <dead> ms without grants
    Given 4 gateways and the agent of an upstream of 8 slots
    When another gateway takes its place after <dead> ms of 2.0 times its capacity
    Then at most 16 requests ran there concurrently
    And at least 0.8 of its slot time was used

    Examples:
      | dead |
      | 0 |
      | 750 |
      | 2000 |

  # Guards against gateways that ask different ones for grants, and against a
  # change of all when one of them is lost.
  Scenario Outline: <count> gateways choose who grants the slots of 100 upstreams
    Given <count> gateways that hear each other
    Then all of them choose the same gateway for each upstream
    And no gateway grants for more than <most> upstreams
    When one of them has been silent for 3 s
    Then only the upstreams that it granted have another gateway

    Examples:
      | count | most |
      | 1 | 100 |
      | 2 | 65 |
      | 4 | 40 |
      | 30 | 12 |
      | 110 | 6 |
