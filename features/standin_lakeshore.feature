Feature: The runners of the stand-in Lakeshore platform

  # Guards against a count of answers to misdirect that falls below zero.
  Scenario Outline: Requests for another runner don't use up injected misdirections: <planned> planned
    Given a stand-in runner that is to misdirect <planned> requests
    When 3 requests for another runner arrive
    And <own> requests for it arrive
    Then <refused> of those for it are misdirected

    Examples:
      | planned | own | refused |
      | 0 | 2 | 0 |
      | 1 | 2 | 1 |
      | 2 | 3 | 2 |
