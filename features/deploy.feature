Feature: The deployment files match the project

  # A deployment fails to start when its requirements or its programs differ
  # from those of the project.

  Scenario: The deployed requirements are pinned as in pyproject.toml
    Then each line of "deploy/requirements.txt" is one of the project's dependencies

  Scenario: The deploy file refers to existing programs
    Then each role's program is a file of the repository and accepts the role
