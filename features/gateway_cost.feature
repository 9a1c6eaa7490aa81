Feature: The work of a gateway does not grow with requests times upstreams

  # Guards against a gateway that uses up its processor under overload: each
  # scheduling pass described each upstream anew for each waiting request.
  Scenario Outline: <waiting> requests wait while <free> of <upstreams> slots are free
    Given a gateway with <upstreams> upstreams of one slot, all taken
    And <waiting> more requests wait
    When <free> slots become free
    Then upstreams were described at most <most> times for it
    And <waiting> requests less <free> still wait

    Examples:
      | upstreams | waiting | free | most |
      | 44 | 30 | 0 | 0 |
      | 44 | 30 | 1 | 45 |
      | 44 | 30 | 3 | 135 |
      | 120 | 60 | 1 | 121 |

  # Guards against agents that use up their processor where gateways are many:
  # each want described, hashed and sorted all gateways anew.
  Scenario Outline: An agent answers a want among <gateways> gateways
    Given an agent that <gateways> gateways have told of their requests
    When one of them tells that it runs <running> requests more
    Then the agent made at most <most> calls of functions for it

    Examples:
      | gateways | running | most |
      | 4 | 1 | 60 |
      | 68 | 1 | 60 |
      | 300 | 1 | 60 |
      | 300 | 0 | 60 |

  # Guards against announcements and admissions whose cost grows with calls for
  # each peer.
  Scenario Outline: What is left of an allowance among <gateways> gateways
    Given a gateway that <gateways> others have told of their use
    When it works out its part of what is left of an allowance
    Then it made as many calls of functions for it as where 3 others have

    Examples:
      | gateways |
      | 4 |
      | 67 |
      | 299 |

  # Guards against timers that each wake a process at rest.
  Scenario: The periodic work of a gateway shares one timer
    Given a gateway's daemon with its timers
    When a second passes
    Then 40 timers fired, and each periodic work was called at its interval
