Feature: The catalogue of log events

  Scenario: The catalogue and the code list the same events
    Then docs/EVENTS.md lists each event of the code once with its level and message, and no other

  Scenario: Event numbers are unique
    Then the event numbers in the code are unique
