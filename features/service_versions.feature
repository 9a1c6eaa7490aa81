Feature: Which software versions unfinished streams may hold

  A gateway that takes a version for the only one joins streams if it is wrong.

  # Guards against forgetting a version as early as the oldest row says.
  Scenario Outline: Of what several gateways had saved, the latest counts: <first>, <second>
    Given versions of a service whose streams live 20 s
    When a gateway is restored from "v1" <first> and then <second>
    And 10 s pass without it
    Then streams may hold "v1"
    When 11 s pass without it
    Then streams may hold "-"

    Examples:
      | first | second |
      | absent 5 s, saved 14 s ago | absent 0 s, saved 1 s ago |
      | absent 0 s, saved 1 s ago | absent 5 s, saved 14 s ago |
