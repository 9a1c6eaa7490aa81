Feature: What is deployed is what is declared

  Scenario: The deployed requirements are pinned as in pyproject.toml
    Then each line of "deploy/requirements.txt" stands in the project's dependencies

  Scenario: The deploy file names programs that exist
    Then each role's program is a file of the repository, with a role that it knows
