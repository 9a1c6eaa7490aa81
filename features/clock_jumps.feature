Feature: The time of day jumps

  # Guards against a new life of an upstream that is taken for the former one,
  # or the other way round, when the time of day of a gateway jumps between the
  # start of a life and what it says. The upstream starts again 10 s after the
  # gateway, the list shows it 3 s later.
  Scenario Outline: A jump of <jump> ms, then the <life> says that it is leaving
    Given a gateway whose upstream starts again after 10 s
    When the time of day jumps by <jump> ms after 5 s
    And the <life> says that it is leaving at <at> s
    And the list shows the new life at 13 s
    Then it <gets> requests

    Examples:
      | jump | life | at | gets |
      | 0 | former life | 9 | gets |
      | 0 | new life | 12 | gets no |
      | -7000 | former life | 9 | gets |
      | -7000 | new life | 12 | gets no |
      | 7000 | former life | 9 | gets |
      | 7000 | new life | 12 | gets no |

  # Guards against a pause that is too long or missing.
  Scenario Outline: A date to come back at is compared with the date of the answer: <case>
    When an answer says "<date>" and to come back at "Wed, 02 Dec 2026 10:00:09 GMT", at 10:00:0<own> here
    Then the pause is <pause> ms

    Examples:
      | case | date | own | pause |
      | the clocks agree | Wed, 02 Dec 2026 10:00:05 GMT | 5 | 4000 |
      | this machine is behind | Wed, 02 Dec 2026 10:00:05 GMT | 0 | 4000 |
      | this machine is ahead | Wed, 02 Dec 2026 10:00:05 GMT | 9 | 4000 |
      | no date | - | 6 | 3000 |
      | a date that can't be read | yesterday | 6 | 3000 |

  # Guards against gateways that send to an upstream with a limit at once when
  # their time of day jumps: at such a limit 30 gateways take turns by it.
  Scenario Outline: Jumps of <jump> ms while 30 gateways share a limit of 2 a second
    When the time of day of 30 gateways jumps by <jump> ms back and forth each second for 20 s
    Then no 4 s have more than 12 starts

    Examples:
      | jump |
      | 0 |
      | 700 |
      | -7300 |
