Feature: The capacity page and its figures

  # The page can be out of date when slopes, constants or function names
  # change without it.

  Scenario: The page is up to date with the figures
    Then docs/CAPACITY.md equals the page rendered from docs/capacity.json

  Scenario: A changed figure changes the page
    Then the capacity page changes when any slope that it uses is doubled

  Scenario: Every slope is the fit of its own points
    Then each slope of docs/capacity.json has at least 3 sizes and matches a fit of its costs

  Scenario: Every carrier on the page exists in the code
    Then each carrier on the capacity page can be imported

  Scenario Outline: Fitting <points>
    Then a line through "<points>" has slope <slope>, error <error> and base <base>

    Examples: lines
      | points              | slope | error  | base  |
      | 1:5 2:7 3:9         | 2     | 0      | 3     |
      | 0:0 1:0 2:0         | 0     | 0      | 0     |
      | 1:1 2:2 3:4         | 1.5   | 0.2887 | -0.667 |
      | 10:100 20:90 40:70  | -1    | 0      | 110   |

  Scenario: Two points have no standard error and are rejected
    Then fitting a line through "1:5 2:7" fails

  Scenario Outline: Ratio of a capacity need of <value> to <target>
    Then a capacity need of <value> against a target of <target> has ratio <ratio>

    Examples: ratios
      | value | target | ratio |
      | 64    | 32     | 2     |
      | 16    | 32     | 0.5   |
      | 16    | 0      | 0     |
