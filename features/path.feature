Feature: Requests through an entry, agents and engines as real processes

  Guards against faults in the wiring of the programs that tests with simulated
  links and clocks can't find: HTTP, mutual TLS, settings and process start.

  Scenario: Requests travel from caller to engine and back
    Given 1 entry and 2 engines with their agents run as processes
    When 12 completions are requested at once
    Then every answer is complete and belongs to its request
    And each of these requests ran on exactly one engine

  Scenario: The published OpenAI client works unchanged
    Given 1 entry and 1 engines with their agents run as processes
    Then the OpenAI client lists the model "m"
    And its chat completions, whole and streamed, answer the caller's prompt

  Scenario Outline: Links over mutual TLS: <case>
    Given an entry and an agent with TLS, whose agent presents a certificate for "<name>" of <authority>
    When the entry has tried to link to the agent
    Then the link is "<state>"

    Examples:
      | case | name | authority | state |
      | the agent is known | agent-0 | the same authority | up |
      | a certificate of another instance | agent-9 | the same authority | refused |
      | a certificate of another authority | agent-0 | another authority | failed |

  Scenario: The demo of the standalone program answers all its requests
    When the demo is run
    Then the demo exits with 0 and prints 24 answers
