Feature: Bodies of requests don't fill the memory

  # Guards against bodies of finished requests that wait for the garbage
  # collector, until the process has more memory than it may have.
  Scenario Outline: Nothing of a body stays once its request has ended: <end>
    Given a gateway with two upstreams of each service
    When 20 requests with a body of 1000000 bytes end while no garbage is collected: <end>
    Then they hold less than 2000000 bytes

    Examples:
      | end |
      | answered |
      | answered by a failure |
      | their callers leave |
      | refused |

  Scenario: What would be too much at once is refused as not run
    Given a gateway with two upstreams of each service
    When 12 callers send a body of 1000000 bytes each, and none is answered
    Then 10 of them wait, and 2 are told to come back
    When those that wait are answered
    And 10 callers send a body of 1000000 bytes each, and none is answered
    Then 10 of them wait, and 0 are told to come back

  # Guards against bytes behind a refused body that count for good, until no
  # body is taken any more.
  Scenario Outline: What arrives behind a refused body doesn't count: <size> bytes
    Given a gateway with two upstreams of each service
    When 15 callers send a body of <size> bytes in one piece, and leave
    And 10 callers send a body of 1000000 bytes each, and none is answered
    Then 10 of them wait, and 0 are told to come back

    Examples:
      | size |
      | 6000000 |
      | 11000000 |

  # Guards against parts of a body that take more memory than their bytes.
  Scenario: A body that comes in chunks of two bytes takes about its own size
    Given a gateway with two upstreams of each service
    When a caller sends a body of 60000 bytes in chunks of two bytes
    Then they hold less than 200000 bytes

  # Guards against many slow callers, each within its own bound, whose answers
  # together take more memory than the process may have.
  Scenario Outline: Answers that slow callers don't read fit beside the bodies: <callers> callers
    Given a gateway with two upstreams of each service and 200 slots
    When <callers> callers read nothing of answers of 250000 bytes, sent over 8 s
    Then the gateway holds at most <most> bytes of them
    And the answers of <whole> callers were read to their ends

    Examples:
      | callers | most | whole |
      | 10 | 2600000 | 10 |
      | 100 | 10000000 | 0 |

  Scenario Outline: What one answer may have unsent follows what is free: <slow> slow callers
    Then with <free> bytes free, <slow> slow and <fast> fast callers, each may have <most> bytes unsent

    Examples:
      | free | slow | fast | most |
      | 10000000 | 0 | 500 | 262144 |
      | 10000000 | 28 | 500 | 262144 |
      | 10000000 | 100 | 0 | 75000 |
      | 10000000 | 5000 | 0 | 16384 |
      | 0 | 3 | 0 | 16384 |
