Feature: The page on coordination

  Scenario: The examples of the page run
    Then the 3 examples of docs/COORDINATION.md run
