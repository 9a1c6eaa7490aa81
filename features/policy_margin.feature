Feature: The margin on estimates follows what engines do

  # 95 of 100 are to end within estimate and margin; steps of the margin
  # leave some play, so a tenth of that share is allowed either way.
  Scenario Outline: Requests that take up to <spread> times their estimate
    When the margin learns from 4000 requests that take 1 to <spread> times their estimate with seed <seed>
    Then between 85 and 100 of 100 of the last 2000 end within estimate and margin
    And the margin lies between <low> and <high>

    Examples:
      | spread | seed | low | high |
      | 1.0 | 1 | 0.05 | 0.05 |
      | 1.4 | 1 | 0.2 | 0.5 |
      | 1.5 | 2 | 0.3 | 0.5 |
      | 1.9 | 3 | 0.5 | 0.5 |

  Scenario: An engine that slows down many times leaves the margin as it is
    When the margin learns from 500 requests that take 1 to 1.2 times their estimate with seed 1
    And the margin learns from 100 more that take 30 times their estimate
    Then the margin lies between 0.05 and 0.3
