Feature: The whole path over real processes

  Scenario: Requests travel from caller to engine and back
    Given a path of 1 entry and 2 engines as processes
    When 12 completions are asked for at once
    Then every path answer is whole and the caller's own
    And each path request ran on exactly one engine

  Scenario: The published OpenAI client works unchanged
    Given a path of 1 entry and 1 engines as processes
    Then the OpenAI client lists the model "m"
    And its chat answers, whole and streamed, are the caller's own

  Scenario Outline: Links over mutual TLS: <case>
    Given a path over TLS whose agent shows a certificate for "<name>" of <authority>
    When the entry has tried to link to the agent
    Then the link is "<state>"

    Examples:
      | case | name | authority | state |
      | the agent is known | agent-0 | the same authority | up |
      | a certificate of another instance | agent-9 | the same authority | refused |
      | a certificate of another authority | agent-0 | another authority | failed |

  Scenario: The embedded default serves a burst
    When the demo is run
    Then the demo exits with 0 and prints 24 answers
