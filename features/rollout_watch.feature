Feature: Gateways read orders and write the steps of roll-outs

  # What steps are due is scripted here; features/rollouts*.feature test that.

  # Guards against a status that differs from the roll-out, and against steps
  # that are left out, repeated or taken back.
  Scenario Outline: <deciding> of <count> gateways take the steps
    Given <count> gateways that follow a store with roll-outs
    And gateways "<deciding>" decide
    When version "v2" of "desk" is ordered
    And 3 s pass with the store
    Then the row of "desk" went through "judging,moving,completed" once
    And each step was written together with its status
    And all gateways know that "desk" is "completed"

    Examples:
      | count | deciding |
      | 1 | g0 |
      | 5 | g0 |
      | 5 | g4 |
      | 5 | g0,g1 |
      | 5 | g0,g1,g2,g3,g4 |

  # Guards against a step that is written again, or twice, or never, when the
  # gateway can't tell whether the store has it.
  Scenario Outline: A write fails: <what>
    Given 3 gateways that follow a store with roll-outs
    And gateways "<deciding>" decide
    When version "v2" of "desk" is ordered
    And <what>
    And 4 s pass with the store
    Then the row of "desk" went through "judging,moving,completed" once
    And all gateways know that "desk" is "completed"

    Examples:
      | deciding | what |
      | g0 | the answers to 1 writes are lost |
      | g0 | the answers to 3 writes are lost |
      | g0,g1,g2 | the answers to 2 writes are lost |
      | g0 | writes fail for 1500 ms |
      | g0 | the store is away for 1500 ms |
      | g0,g1 | the store is away for 300 ms |

  # Guards against a gateway that waits for one that is gone, and against one
  # that begins again.
  Scenario Outline: The deciding gateway is killed in the phase "<phase>"
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0" decide up to "<phase>"
    When version "v2" of "desk" is ordered
    And 2 s pass with the store
    And gateway "g0" is killed and "g1" decides
    And 3 s pass with the store
    Then the row of "desk" went through "judging,moving,completed" once

    Examples:
      | phase |
      | judging |
      | moving |
      | completed |

  # Guards against versions of rows that a restored store gives out again, and
  # against a step that is lost though gateways know it.
  Scenario Outline: The store comes back from a copy of <age> ms before, <when>
    Given 3 gateways that follow a store with roll-outs
    And gateways "<deciding>" decide up to "<phase>"
    When version "v2" of "desk" is ordered
    And 2 s pass with the store
    And the store comes back from a copy that is <age> ms old
    And 6 s pass with the store
    Then all gateways know that "desk" is "<phase>"
    And the row of "desk" and its status say "<phase>"

    Examples:
      | deciding | phase | age | when |
      | g0 | moving | 1950 | before the last step |
      | g0 | moving | 2100 | before the order |
      | g0,g1,g2 | completed | 1950 | before the last step |
      | g0,g1,g2 | completed | 2500 | before the order |
      | g1 | judging | 100 | after all |

  # Guards against orders that are taken for removed before operators had the
  # time to write them again.
  Scenario Outline: <ms> ms after the store came back without an order
    Given 3 gateways that follow a store with roll-outs
    When version "v2" of "desk" is ordered
    And 1 s pass with the store
    And the store comes back from a copy that is 1200 ms old
    And <ms> ms pass with the store
    Then all gateways <know> the order for "desk"

    Examples:
      | ms | know |
      | 600 | know |
      | 1400 | know |
      | 3200 | don't know |
      | 7000 | know |

  # Guards against gateways that start in a restored store, and take an order
  # that the copy lacks for one that was never given.
  Scenario Outline: <ms> ms after all gateways have started beside a copy without an order
    Given 3 gateways that follow a store with roll-outs
    When version "v2" of "desk" is ordered
    And 1 s pass with the store
    And the store comes back from a copy that is 1200 ms old
    And all gateways that follow it are killed and start again
    And <ms> ms pass with the store
    Then all gateways <know> the order for "desk"
    And gateways <have> taken over rows

    Examples:
      | ms | know | have |
      | 600 | don't know | have not |
      | 2400 | don't know | have not |
      | 7000 | know | have |

  Scenario: Gateways that start in a store that wasn't restored take over rows soon
    Given 3 gateways that follow a store with roll-outs
    When version "v2" of "desk" is ordered
    And 1 s pass with the store
    And all gateways that follow it are killed and start again
    And 1600 ms pass with the store
    Then all gateways know the order for "desk"
    And gateways have taken over rows

  # Guards against a store load that grows with the gateways, or that goes on
  # after the roll-out: calls are priced.
  Scenario Outline: <count> gateways call the store for roll-outs: <when>
    Given <count> gateways that follow a store with roll-outs
    And gateways "g0" decide up to "<phase>"
    When <what>
    And 3 s pass with the store
    And 10 s pass with the store, in which calls are counted
    Then at most 2 gateways read the roll-outs, together <most> times or less

    Examples:
      | count | when | phase | what | most |
      | 6 | without an order | completed | nothing is ordered | 0 |
      | 6 | under way | judging | version "v2" of "desk" is ordered | 24 |
      | 12 | under way | judging | version "v2" of "desk" is ordered | 24 |
      | 6 | completed | completed | version "v2" of "desk" is ordered | 0 |

  # Guards against gateways that use a version of which they don't know the
  # order, and against polls of all of them.
  Scenario Outline: All gateways know <what> soon
    Given 6 gateways that follow a store with roll-outs
    And gateways "g0" decide up to "<phase>"
    When version "v2" of "desk" is ordered
    And <ms> ms pass with the store
    Then all gateways know that "desk" is "<phase>"

    Examples:
      | what | phase | ms |
      | an order's roll-out | judging | 1000 |
      | all its steps | completed | 2000 |

  # Guards against a gateway that takes its rows for current when it can't know.
  Scenario Outline: A gateway that <what> <knows> that its rows are current
    Given 6 gateways that follow a store with roll-outs
    And gateways "g0" decide up to "judging"
    When version "v2" of "desk" is ordered
    And 2 s pass with the store
    And a gateway that doesn't poll <what>
    And 9 s pass with the store
    Then it <knows> that its rows are current

    Examples:
      | what | knows |
      | goes on as before | knows |
      | hears no other gateway | knows |
      | is cut off from the store | knows |
      | is cut off from all | doesn't know |

  # Guards against an order that is wrong and moves traffic, and against one
  # wrong order that hides the others.
  Scenario Outline: A wrong order is reported: <field>
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0,g1,g2" decide
    When an order with "<content>" is written for "<service>"
    And version "v2" of "desk" is ordered
    And 4 s pass with the store
    Then the status of "<service>" has an error that names "op/rollout/<service>" and "<field>"
    And no gateway logged it twice
    And "<service>" has no roll-out
    And the row of "desk" went through "judging,moving,completed" once

    Examples:
      | service | content | field |
      | model | [] |  |
      | model | {"service": "model", "to": 2, "duration-s": 12} | to |
      | model | {"service": "model", "to": "v2", "duration-s": "12"} | duration-s |
      | model | {"service": "desk", "to": "v2", "duration-s": 12} | service |
      | nobody | {"service": "nobody", "to": "v2", "duration-s": 12} | service |

  Scenario: An order for the version that all upstreams have is reported
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0,g1,g2" decide
    When version "v1" of "desk" is ordered
    And 3 s pass with the store
    Then the status of "desk" has an error that names "op/rollout/desk" and "to"
    And "desk" has no roll-out
    When an upstream of version "v0" starts
    And 4 s pass with the store
    Then the row of "desk" went through "judging,moving,completed" once
    And the status of "desk" has no error

  # Guards against a roll-out that ends because its order can't be read.
  Scenario: A wrong order while a roll-out is under way
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0" decide up to "judging"
    When version "v2" of "desk" is ordered
    And 2 s pass with the store
    And an order with "{"service": "desk", "to": "v3"}" is written for "desk"
    And 3 s pass with the store
    Then the status of "desk" has an error that names "op/rollout/desk" and "duration-s"
    And the row of "desk" and its status say "judging"
    When version "v2" of "desk" is ordered
    And 3 s pass with the store
    Then the status of "desk" has no error
    And the row of "desk" went through "judging" once

  # Guards against an error that stays in the status of a sound order, as its
  # write got no answer and was performed seconds later.
  Scenario Outline: The report of a wrong order is performed <late> ms late
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0" decide up to "judging"
    When version "v2" of "desk" is ordered
    And 2 s pass with the store
    And an order with "{"service": "desk", "to": "v3"}" is written for "desk"
    And writes are performed <late> ms late for 200 ms with the store
    And version "v2" of "desk" is ordered
    And 8 s pass with the store
    Then the status of "desk" has no error

    Examples:
      | late |
      | 0 |
      | 900 |
      | 1600 |
      | 5000 |

  # Guards against gateways that are stuck at a row that none of them can read.
  Scenario: A saved roll-out that can't be read is replaced
    Given 3 gateways that follow a store with roll-outs
    And gateways "g0,g1" decide
    When the row of the roll-out of "desk" is "{"phase": 7}"
    And version "v2" of "desk" is ordered
    And 3 s pass with the store
    Then all gateways know that "desk" is "completed"
