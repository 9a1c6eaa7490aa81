Feature: Operating a deployment on the platform

  Background:
    Given a platform, 2 engines with agents and 2 entries as processes

  Scenario: A published configuration comes into force on every daemon
    Then a completion is refused with 503 "not_configured" as not run
    When the operator publishes the path objects
    Then every daemon of the deployment reaches generation 1
    And a completion through each entry is answered
    When the operator revises "pool p" with "max_running=3"
    Then every daemon of the deployment reaches generation 2
    And a completion through each entry is answered

  Scenario: A paused daemon still reaches the published generation
    Given every daemon of the deployment reaches generation 0
    When "agent-1" is paused for 4500 ms
    And the operator publishes the path objects
    Then every daemon of the deployment reaches generation 1

  Scenario: A drained agent accepts no new requests and finishes running ones
    Given the operator publishes the path objects
    And every daemon of the deployment reaches generation 1
    And 8 slow completions are running through the entries
    When the operator drains "agent-0"
    Then the agent "agent-0" ends by itself with status 0
    And every slow completion is whole
    And the completions that follow run on the other engine only

  Scenario: An entry that receives SIGTERM finishes its requests
    Given the operator publishes the path objects
    And every daemon of the deployment reaches generation 1
    And 8 slow completions are running through the entries
    When entry 0 gets SIGTERM
    Then entry 0 ends by itself with status 0
    And every slow completion is whole
