Feature: Agents divide the slots of their upstreams among gateways

  Scenario Outline: <case>
    When <slots> slots, <foreign> of them taken elsewhere, are dealt to "<claims>"
    Then the gateways may start "<starts>"

    # A claim is running/waiting by urgency.
    Examples:
      | case | slots | foreign | claims | starts |
      | idle slots are spread | 8 | 0 | 0/0 0/0 | 4 4 |
      | full | 8 | 0 | 4/2 4/5 | 0 0 |
      | the urgent goes first | 8 | 0 | 4/0,3 3/1,0 | 0 1 |
      | in turn within an urgency | 8 | 0 | 3/5 2/5 | 2 1 |
      | spare after waiting | 7 | 0 | 1/1 1/0 | 3 2 |
      | foreign work counts | 8 | 3 | 2/0 2/2 | 0 1 |
      | more runs than slots | 4 | 0 | 3/1 3/1 | 0 0 |
      | nobody claims | 4 | 0 | | |
      | spare goes to near ones first | 2 | 0 | 0/0 near:0/0 0/0 near:0/0 | 0 1 0 1 |
      | then to others | 6 | 0 | 0/0 near:0/0 0/0 near:0/0 | 1 2 1 2 |
      | the urgent goes before near ones | 1 | 0 | 0/1 near:0/0 | 1 0 |

  # The control traffic of an upstream follows its use, not the number of
  # gateways before it.
  Scenario: One start changes one grant
    Then 1 grants change when any of 30 idle gateways starts one
    And two upstreams of 30 gateways prefer other ones

  # Datagrams take 1 ms, some are lost; each request runs 50 to 150 ms. Gateways
  # get unequal parts of the requests. Each may have one request ahead, on a
  # grant that is being withdrawn: so many may run beyond the 8 slots.
  Scenario Outline: An upstream of 8 slots under <load> times its work: <case>
    Given <count> gateways, and an agent before an upstream of 8 slots
    And <lost> of all datagrams are lost
    When they get <load> times what it can do for 5 s
    Then at most <most> requests ran there at once
    And at least <least> of its time was used
    And <case>

    Examples:
      | count | load | lost | most | least | case |
      | 4 | 0.5 | 0.0 | 12 | 0.45 | nothing waited over 100 ms |
      | 4 | 2.0 | 0.0 | 12 | 0.9 | the urgent waited under 60 ms |
      | 4 | 2.0 | 0.1 | 12 | 0.85 | the urgent waited under 150 ms |
      | 8 | 2.0 | 0.0 | 16 | 0.9 | the urgent waited under 60 ms |

  Scenario: A gateway without a living agent goes on with its own share
    Given 4 gateways, and an agent before an upstream of 8 slots
    When the agent dies, and they get 2.0 times what it can do for 5 s
    Then at most 16 requests ran there at once
    And at least 0.8 of its time was used

  Scenario: An agent that starts anew learns what runs before it grants
    Given 4 gateways, and an agent before an upstream of 8 slots
    When the agent is started anew after 2 s of 2.0 times what it can do
    Then at most 12 requests ran there at once
    And at least 0.8 of its time was used
