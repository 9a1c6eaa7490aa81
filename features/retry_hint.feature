Feature: Refused callers are told when their turn comes

  # Guards against hints that ignore the rate or the returns already promised,
  # that exceed a third of the caller's time, or that send callers refused
  # together back together.
  Scenario Outline: The hint of <count> callers refused at once: <case>
    When <count> callers with <left> ms left are refused behind <ahead> requests at <rate> starts a second
    Then they are told to return after <first> to <last> ms, <promised> of them for a turn of their own
    And no two turns are closer than <apart> ms

    Examples:
      | case | count | left | ahead | rate | first | last | promised | apart |
      | the next turn | 1 | 6000 | 0 | 4 | 250 | 250 | 1 | 0 |
      | behind a queue | 1 | 6000 | 3 | 4 | 1000 | 1000 | 1 | 0 |
      | one after the other | 4 | 6000 | 0 | 4 | 250 | 625 | 4 | 125 |
      | no more than a third | 30 | 3000 | 0 | 4 | 250 | 1000 | 7 | 125 |
      | no rate is known | 5 | 3000 | 0 | 0 | 970 | 1000 | 0 | 0 |
      | hardly any time left | 2 | 150 | 0 | 100 | 48 | 50 | 0 | 0 |
      | a fast queue | 1 | 6000 | 0 | 1000 | 100 | 100 | 1 | 0 |

  # Guards against turns that stay reserved for callers that don't return:
  # their slots would stay free.
  Scenario: Turns of callers that never return count less and less
    When 40 promised returns at 4 starts a second are not kept
    Then a new request sees less than 0.1 of a promised return as ahead of it

  Scenario Outline: When a request was first sent: <case>
    When callers of a team had up to <longest> ms left, and one with <left> ms left arrives <later> ms later
    Then it counts as first sent <before> ms before it arrived

    Examples:
      | case | longest | left | later | before |
      | a new request | 5000 | 5000 | 10 | 0 |
      | its way took a while | 5000 | 4930 | 10 | 0 |
      | a retry | 5000 | 3000 | 2000 | 2000 |
      | callers that wait less since | 5000 | 3000 | 91000 | 0 |

  # Guards against retries that new requests overtake. The load: one engine of
  # 4 slots is full and requests of the same rank wait.
  Scenario: A retry at the hinted time starts before newer requests
    Given a gateway with two engines of 4 slots that promises turns
    When a request is refused under overload
    And other requests fill the engines and newer ones wait when its caller returns as told
    Then the retry starts before the newer requests

  # Loads: twice or four times the capacity for some seconds, callers that
  # retry for the whole time that they have. Returns in vain are refusals after
  # the first one. Guards against hints that send callers back in vain, and
  # against turns that leave slots unused.
  Scenario Outline: <load> times the capacity for <seconds> s at <gateways> gateways
    When callers with <patience> ms send <load> times what <engines> engines serve to <gateways> gateways for <seconds> s
    Then returns in vain are at most <vain> of those with the former hints
    And attempts per request are at most <attempts> of those with the former hints
    And no fewer requests are served than with the former hints

    Examples:
      | gateways | engines | load | seconds | patience | vain | attempts |
      | 3 | 6 | 2 | 12 | 20000 | 0.67 | 0.85 |
      | 3 | 6 | 4 | 6 | 20000 | 0.67 | 0.9 |
      | 8 | 20 | 2 | 8 | 8000 | 0.67 | 0.85 |
      | 8 | 20 | 1.5 | 10 | 12000 | 0.67 | 1.05 |
