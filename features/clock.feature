Feature: Timers while the time of day jumps

  Scenario Outline: A timer runs when it is due, whatever the time of day says
    Given a reactor of a program
    When a timer of 60 ms is set and the time of day jumps by <jump_ms> ms
    Then the timer runs after 60 ms to 1000 ms

    Examples:
      | jump_ms |
      | 0       |
      | -5000   |
      | 5000    |

  Scenario Outline: Every program takes the reactor whose timers are steady
    Then <module> takes its reactor from the clock module only

    Examples:
      | module                      |
      | godwitloft/platform/main.py |
      | godwitloft/runtime/daemon_command.py |
      | godwitloft/standalone.py    |
      | godwitloft/standins/main.py |
