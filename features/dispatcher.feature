Feature: An agent's dispatcher applies its policy

  # Guards against a switched-off check that the periodic sweep still applies.
  Scenario Outline: A request that can't finish in time, and check_finish <check>
    Given a dispatcher whose one place is taken, with check_finish <check>
    When a bid comes that can't finish in time
    And 2000 ms pass at the dispatcher
    Then its entry is told <told>

    Examples:
      | check | told |
      | true | too_late |
      | false | nothing |
