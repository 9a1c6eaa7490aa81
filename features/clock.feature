Feature: Timers while the wall clock jumps

  Twisted runs timers by the wall clock: when it is set back, scheduled
  calls would wait until it has caught up. Every program must use the
  reactor whose timers run by the monotonic clock.

  Scenario Outline: A timer runs on time when the wall clock jumps
    Given a reactor of a program
    When a timer of 60 ms is set and the wall clock jumps by <jump_ms> ms
    Then the timer runs after 60 ms to 1000 ms

    Examples:
      | jump_ms |
      | 0       |
      | -5000   |
      | 5000    |

  Scenario Outline: Every program uses the reactor with monotonic timers
    Then <module> takes its reactor from the clock module only

    Examples:
      | module                      |
      | godwitloft/platform/main.py |
      | godwitloft/runtime/daemon_command.py |
      | godwitloft/standalone.py    |
      | godwitloft/standins/main.py |
