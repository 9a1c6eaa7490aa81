Feature: The whole path over real processes

  Scenario: Requests travel from caller to engine and back
    Given a path of 1 entry and 2 engines as processes
    When 12 completions are asked for at once
    Then every path answer is whole and the caller's own
    And each path request ran on exactly one engine

  Scenario: The embedded default serves a burst
    When the demo is run
    Then the demo exits with 0 and prints 24 answers
