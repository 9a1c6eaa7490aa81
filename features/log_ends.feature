Feature: A process that ends writes the last lines of its log

  # Guards against lines about the last requests that are still in the process
  # when it ends, as the pipe was full at that moment.
  Scenario Outline: What is logged just before the end arrives: <end>, <lines> lines
    Given a program that logs <lines> lines and ends by <end>
    When its log is read from 30 ms after they were written
    Then all of its <lines> lines have arrived

    Examples:
      | end | lines |
      | SIGTERM | 20 |
      | SIGTERM | 150 |
      | SIGTERM | 400 |
      | SIGINT twice | 150 |
      | an exception | 150 |
      | a usage error | 150 |

  # Guards against a process that doesn't end as nobody reads its log.
  Scenario Outline: A log that nobody reads doesn't keep a process from ending: <end>
    Given a program that logs 400 lines and ends by <end>
    When its log is not read
    Then it ends within 500 ms after its first line

    Examples:
      | end |
      | SIGTERM |
      | an exception |

  # Guards against an end that fails as the reader of the log has gone.
  Scenario: A program ends in order whose log's reader has gone
    Given a program that logs 400 lines and ends by SIGTERM
    When its log's reader closes the pipe
    Then the program that logs ends with status 0
