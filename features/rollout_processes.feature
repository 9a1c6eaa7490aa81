Feature: Roll-outs with real gateways, a store and upstreams

  # Guards against a roll-out that stops with the gateway that decides, and
  # against one that begins again, in processes as they are deployed.
  Scenario Outline: The gateway that decides is killed <when>: <version> version
    Given 3 real gateways on a stand-in platform under load
    When a roll-out of "desk" to a <version> version is ordered, within <seconds> s
    And the gateway that decides is killed <when>
    Then the roll-out is "<state>" within its time
    And its phases only went forward
    And the new version got no more requests than it may
    And no caller of a living gateway lost an answer

    Examples:
      | version | when | seconds | state |
      | good | before its first step | 8 | completed |
      | good | in judging | 8 | completed |
      | good | in moving | 8 | completed |
      | good | never | 8 | completed |
      | failing | in judging | 8 | rolled_back |
      | failing | in rolled_back | 8 | rolled_back |
      | slow | never | 8 | rolled_back |
