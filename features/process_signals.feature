Feature: Signals that ask a program to stop

  # Guards against a second SIGTERM that cuts every answer: a supervisor says
  # it again while the program drains, or two of them say it.
  Scenario Outline: A program that drains gets <signals>: <then>
    Given a program that drains for a second
    When it gets "<signals>" 200 ms apart
    Then it has <drained> and ended with status 0
    And it was asked to drain once

    Examples:
      | signals | then | drained |
      | SIGTERM | drains to its end | drained |
      | SIGTERM SIGTERM | drains to its end | drained |
      | SIGTERM SIGTERM SIGTERM SIGTERM | drains to its end | drained |
      | SIGTERM SIGINT | drains to its end | drained |
      | SIGINT SIGTERM | drains to its end | drained |
      | SIGINT SIGINT | stops at once | not drained |
      | SIGTERM SIGINT SIGINT | stops at once | not drained |

  # Guards against an order to drain and a signal that each drain the program.
  Scenario: A program that drains by an operator's order gets SIGTERM
    Given a program that drains for a second by an order
    When it gets "SIGTERM SIGTERM" 200 ms apart
    Then it has drained and ended with status 0
    And it was asked to drain once

  # Guards against a signal that ends the interpreter in its last moments, when
  # its handlers are gone: the status tells of a failure.
  Scenario Outline: A program that has drained gets <signal> as its interpreter ends
    Given a program that drains for a second
    When it gets "SIGTERM" 200 ms apart
    And it gets <signal> as its interpreter ends
    Then it has drained and ended with status 0

    Examples:
      | signal |
      | SIGTERM |
      | SIGINT |
      | SIGHUP |
