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

  # Guards against counting on what the store has lost.
  Scenario: A version that was saved before the store was restored is saved again before it is used
    Given versions of a service whose streams live 20 s
    And "v1" is listed and used
    When "v2" is listed too and saved, and the store is restored from a copy
    And 5 s pass with "v1,v2" listed
    Then streams may begin at "v1"
    And it is to be saved soon
    When the versions are saved
    Then streams may begin at "v1,v2"

  # Guards against a start at which a version is used that others don't know.
  Scenario Outline: A gateway that starts doesn't use a version that others had only seen: <saved>
    Given versions of a service whose streams live 20 s
    When a gateway starts where "v1" was used and "v2" was <saved>
    And "v1,v2" are listed
    Then streams may hold "v1,v2"
    And streams may begin at "<at once>"
    When the versions are saved
    And 2.5 s pass with "v1,v2" listed
    Then streams may begin at "v1,v2"

    Examples:
      | saved | at once |
      | seen | v1 |
      | used | v1,v2 |

  # Guards against waiting for others where nothing is left to begin at.
  Scenario: A version that others had only seen is used at once where no other is listed
    Given versions of a service whose streams live 20 s
    When a gateway starts where "v1" was used and "v2" was seen
    And "v2" are listed
    Then streams may hold "v1,v2"
    And streams may begin at "v2"

  # Guards against forgetting streams that began under longer time-outs.
  Scenario Outline: Streams are remembered as long as the time-outs under which they began: <before> s, then <after> s
    Given routes of streams with a time-out of <before> s
    Then streams are remembered for <life> s
    When their time-out is changed to <after> s
    And 1 s pass since then
    Then streams are remembered for <still> s
    When <long> s pass since then
    Then streams are remembered for <then> s

    Examples:
      | before | after | life | still | long | then |
      | 60 | 10 | 90 | 90 | 90 | 20 |
      | 10 | 60 | 20 | 90 | 1 | 90 |
      | 60 | 40 | 90 | 90 | 90 | 60 |
