Feature: The help of the experiments

  Scenario Outline: The help of "<command>" explains its options
    When the help of the experiment "<command>" is printed
    Then each option has an explanation
    And it contains no markup

    Examples:
      | command |
      | burst |
      | compare |
      | overhead |
      | faults |
      | config |
      | soak |
