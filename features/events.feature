Feature: The catalogue of log events

  Scenario: The catalogue and the code agree
    Then docs/EVENTS.md lists each event of the code once with its level and message, and no other

  Scenario: No two events share a number
    Then the numbers of the events in the code differ
