Feature: The retry budget holds while gateways start and end

  # Guards against gateways that start and take their share of the additional
  # retries at once, though others, or their instance's process before, have
  # used it. The budget is 0.2 of the requests and 20 more in 10 s, in all.
  Scenario Outline: <count> gateways at <firsts> requests a second: <event>, seed <seed>
    Given <count> gateways that share a retry budget, seed <seed>
    When <firsts> requests a second come for 15 s
    And all requests fail, <event>
    Then the retries in any 10 s kept the budget
    And at least <least> of the budget was used in the first 10 s, and 0.5 in the 10 s from 12 s after the last start on

    # A gateway uses 0.7 of its share, 0.3 in the first 10 s.
    Examples:
      | count | firsts | event | seed | least |
      | 4 | 20 | nothing else happens | 1 | 0.6 |
      | 1 | 20 | each is killed in turn every 1500 ms, 5 times | 1 | 0.3 |
      | 4 | 20 | each is killed in turn every 500 ms, 4 times | 2 | 0.3 |
      | 4 | 100 | each is killed in turn every 500 ms, 4 times | 3 | 0.3 |
      | 4 | 20 | each is killed in turn every 300 ms, 6 times | 4 | 0.3 |
      | 12 | 20 | each is killed in turn every 200 ms, 3 times | 5 | 0.3 |
      | 12 | 100 | each is killed in turn every 500 ms, 1 times | 6 | 0.3 |
      | 4 | 100 | all are killed at once, 1 times | 7 | 0.3 |
      | 4 | 20 | all are killed at once, 4 times | 8 | 0.3 |
      | 1 | 100 | 11 more start 700 ms apart | 9 | 0.3 |
      | 1 | 100 | 3 more start 700 ms apart | 10 | 0.3 |
      | 1 | 20 | 3 more start at once | 11 | 0.3 |

  Scenario: A gateway without others may retry from its first start on
    Given 1 gateways that share a retry budget, seed 1
    When all requests fail, 10 a second, from its start on for 3 s
    Then at least 14 retries were sent
