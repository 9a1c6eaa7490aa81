Feature: A gateway sends requests where their answer begins first

  # An upstream is id:running/allowed with options: slow=F (slowness relative
  # to the reference), unread=T (pending prompt tokens), far (another
  # availability zone), tried, paused.
  Scenario Outline: <case>
    When a prompt of <prompt> tokens with <left> ms left may go to "<places>"
    Then "<place>" is chosen

    Examples:
      | case | prompt | left | places | place |
      | the least loaded | 600 | 400 | a:3/5 b:1/5 | b |
      | the own zone, if alike | 600 | 400 | a:1/5,far b:1/5 | b |
      | another zone, if much better | 600 | 400 | a:0/5,far b:4/5,slow=3 | a |
      | the faster one | 600 | 400 | a:1/5,slow=2.8 b:2/5 | b |
      | the one without a long prompt | 600 | 400 | a:1/5,unread=50000 b:4/5 | b |
      | no free slot | 600 | 400 | a:5/5 b:5/5 | none |
      | a long prompt waits for a fast one | 20000 | 800 | a:0/5,slow=3 b:5/5 | none |
      | a late request takes any free slot | 50000 | -5 | a:0/5,slow=3 b:5/5 | a |
      | none could answer on time | 50000 | 400 | a:0/5,slow=3 b:5/5,slow=2 | a |
      | not the one that refused it | 600 | 400 | a:0/5,tried b:4/5 | b |
      | a healthy one, although it is busy | 600 | 400 | a:0/5,paused b:5/5 | none |
      | a failing one, if all fail | 600 | 400 | a:0/5,paused b:5/5,paused | a |
      | no upstream at all | 600 | 400 | | none |

  # Guards against requests that queue inside an engine, late and in the order
  # of arrival: each of many gateways sent one to each engine, however few
  # slots it had.
  Scenario Outline: Without agents, <gateways> gateways share <upstreams> upstreams of <slots> slots
    When no agent grants the slots, and answers begin late
    Then all gateways together may start at most <most> at each upstream
    And each gateway may start at least <least> in all

    Examples:
      | gateways | upstreams | slots | most | least |
      | 1 | 9 | 11 | 11 | 99 |
      | 4 | 9 | 11 | 11 | 24 |
      | 18 | 11 | 9 | 9 | 5 |
      | 31 | 9 | 11 | 11 | 3 |
      | 68 | 38 | 9 | 9 | 5 |
      | 110 | 120 | 9 | 9 | 9 |
      | 300 | 120 | 9 | 9 | 3 |
      | 68 | 6 | 6 | 68 | 6 |

  # Guards against a share that stays small after an overload, and against one
  # that stays large in it.
  Scenario Outline: A share of the slots follows how soon answers begin: <case>
    When answers that are due within 400 ms begin after <times> ms
    Then the equal share is multiplied by <least> to <most>

    Examples:
      | case | times | least | most |
      | none yet | | 2 | 2 |
      | on time | 20 x 90 | 2 | 2 |
      | late under overload | 8 x 600 | 1 | 1 |
      | on time again | 8 x 600, 60 x 90 | 2 | 2 |
      | one slow among many | 20 x 90, 1 x 600, 5 x 90 | 1.85 | 1.95 |

  # Guards against dropping live upstreams that could not renew their entry
  # during an outage of the list, and against keeping dead ones. Times are in
  # seconds; a list consists of names of upstreams, "-" marks a leaving one.
  Scenario Outline: An outage of the list: <case>
    When lists are read at "<lists>", the first one after an outage at 10 s
    Then at <at> s the upstreams are "<alive>"

    Examples:
      | case | lists | at | alive |
      | one expired meanwhile | 1:a,b 10:a | 10 | a,b |
      | it is listed again | 1:a,b 10:a 11:a,b 13:a,b | 13 | a,b |
      | it isn't listed again | 1:a,b 10:a 12:a | 12 | a |
      | one is removed after the outage | 1:a,b 10:a,b 11:a | 11 | a |
      | one was leaving before | 1:a,b- 10:a | 10 | a |
      | the list is empty | 1:a,b 10: | 10 | a,b |

  Scenario Outline: A path finds its route: <path>
    Given routes for "/a/", "/a/b/" and "/c/" of host "h"
    Then "<host>" "<path>" leads to "<route>"

    Examples:
      | host | path | route |
      | h | /a/x | /a/ |
      | H:80 | /a/b/x | /a/b/ |
      | h | /a/b | /a/ |
      | h | /a//b/x | /a/ |
      | h | /ab/x | none |
      | h | /c/ | /c/ |
      | h | / | none |
      | other | /a/x | none |

  Scenario: A split follows its weights
    When 1000 requests are split over weights 90 and 10
    Then the second gets 100 of them
