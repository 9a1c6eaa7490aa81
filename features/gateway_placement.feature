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

  Scenario Outline: Without an agent, <gateways> gateways share <slots> slots
    Then each of <gateways> gateways may use <allowed> of <slots> slots

    Examples:
      | gateways | slots | allowed |
      | 1 | 11 | 11 |
      | 4 | 11 | 5 |
      | 31 | 11 | 1 |

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
