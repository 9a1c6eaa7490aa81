Feature: Roll-outs of the stand-in Lakeshore platform

  # Guards against a soak test whose bad versions are good, or bad in another
  # way than its plan says.
  Scenario Outline: Of <count> answers of a version that <kind>, <bad> are bad: <when>
    Given an ordered version with the defect <defect>
    When it has run for <age> ms and is asked <count> times for "<path>" with <busy> others running
    Then <bad> of its answers are "<kind>"

    Examples:
      | kind | when | defect | age | count | path | busy | bad |
      | fails | at once | {"kind": "fails", "share": 1} | 0 | 10 | /lookup/x | 0 | 10 |
      | fails | one half | {"kind": "fails", "share": 0.5} | 0 | 1000 | /lookup/x | 0 | 450 to 550 |
      | fails | a quarter | {"kind": "fails", "share": 0.25} | 0 | 1000 | /lookup/x | 0 | 200 to 300 |
      | fails | not yet | {"kind": "fails", "share": 1, "after_ms": 900} | 800 | 10 | /lookup/x | 0 | 0 |
      | fails | later | {"kind": "fails", "share": 1, "after_ms": 900} | 950 | 10 | /lookup/x | 0 | 10 |
      | fails | not under load | {"kind": "fails", "share": 1, "busy": 3} | 0 | 10 | /lookup/x | 1 | 0 |
      | fails | under load | {"kind": "fails", "share": 1, "busy": 3} | 0 | 10 | /lookup/x | 2 | 10 |
      | fails | on another route | {"kind": "fails", "share": 1, "route": "/post/"} | 0 | 10 | /lookup/x | 0 | 0 |
      | fails | on its route | {"kind": "fails", "share": 1, "route": "/post/"} | 0 | 10 | /post/x | 0 | 10 |
      | slow | at once | {"kind": "slow", "share": 1, "factor": 6} | 0 | 10 | /lookup/x | 0 | 10 |
      | slow | on another route | {"kind": "slow", "share": 1, "route": "/post/"} | 0 | 10 | /lookup/x | 0 | 0 |

  # Guards against former runners that go on after the roll-out was completed,
  # and against new ones that drain before it was rolled back.
  Scenario Outline: The status says <state>
    Given a stand-in platform where a roll-out of "desk" to "v2" is ordered
    When the status of the roll-out says "running" for 500 ms
    Then runners of "v1,v2" serve
    When the status of the roll-out says "<state>" for 100 ms
    Then runners of "<soon>" serve
    When the status of the roll-out says "<state>" for 3000 ms
    Then runners of "<later>" serve
    When the status of the roll-out says "<state>" for 6000 ms
    Then runners of "<at_last>" serve

    Examples:
      | state | soon | later | at_last |
      | running | v1,v2 | v1,v2 | v1,v2 |
      | completed | v2 | v2 | v2 |
      | rolled_back | v1,v2 | v1 | v1 |

  # Guards against a stand-in that takes the end of an earlier order for that
  # of a later one.
  Scenario: A second order replaces the first
    Given a stand-in platform where a roll-out of "desk" to "v2" is ordered
    When a roll-out of "desk" to "v3" is ordered as well
    And the status of the roll-out says "completed" for 500 ms
    Then runners of "v1,v2,v3" serve

  Scenario: An order reaches the store once that takes calls
    Given a stand-in platform whose store is away for 1000 ms
    When a roll-out of "desk" to "v2" is ordered as well
    Then its order is not in the store
    When the status of the roll-out says "running" for 1100 ms
    Then its order is in the store
