Feature: Traces

  Scenario: A parsed trace line equals the recorded one
    Given a trace recorder of instance e1 at 500 ms
    When it records accepted for r1 with {"team": "roasters", "tier_rank": 0}
    And it records told for r1 with {"outcome": "completed"}
    Then trace line 1 is accepted of r1 at 500 ms with {"team": "roasters", "tier_rank": 0}
    And trace line 2 is told of r1 at 500 ms with {"outcome": "completed"}

  Scenario: A trace line has a maximum size
    Given a trace recorder of instance e1 at 500 ms
    When it records accepted for r1 with 5000 prefix keys
    Then trace line 1 has at most 16384 bytes and names prefix_keys as truncated

  Scenario Outline: An invalid trace line is refused
    Then parsing the trace line <line> fails

    Examples:
      | line |
      | {"kind": "accepted"} |
      | {"kind": "acepted", "id": "", "instance": "", "incarnation": "", "seq": 1, "mono_ms": 0, "wall_ms": 0} |
      | [] |
      | {"kind": "told", "id": |

  Scenario: A disabled trace writes nothing
    Then the null recorder writes nothing

  Scenario: The documentation lists all trace kinds
    Then docs/TRACE.md has a row for each trace kind
