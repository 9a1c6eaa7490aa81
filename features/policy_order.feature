Feature: The order in which an upstream starts requests

  Guards against a lower tier served before a higher one, against urgent
  bids answered with a wrong reason, which would shed requests wrongly, and
  against teams or offers that starve.

  Scenario Outline: Worked cases: <case>
    Given an upstream that runs <running>
    And bids <bids>
    When the upstream chooses
    Then it pulls "<pull>", suspends "<suspend>", resumes "<resume>" and skips "<skipped>"

    # A bid is id:tier/team/deadline, then flags: u urgent, h held, i suspect.
    # Running work is id:tier, then flags: s suspended, l suspension pending,
    # p pull pending, i suspect. After the bar follows the cap on running
    # requests, with r if the upstream can suspend and resume.
    Examples:
      | case | running | bids | pull | suspend | resume | skipped |
      | higher tier first | -\|4 | a:1/x/5000 b:0/x/9000 | b | - | - | - |
      | earliest deadline in a team | -\|4 | a:0/x/9000 b:0/x/5000 | b | - | - | - |
      | team below its share first | -\|4 | a:0/x/5000 b:0/y/9000 | b | - | - | - |
      | too late even without lower tiers | -\|4 | a:0/x/100 b:1/x/9000 | b | - | - | a:too_late |
      | no room | w:1\|1 | a:0/x/9000 | - | - | - | - |
      | a held offer blocks lower tiers | -\|4 | a:0/x/9000h b:1/x/9000 | - | - | - | - |
      | a held offer doesn't block its own tier | -\|4 | a:0/x/9000h b:0/x/9500 | b | - | - | - |
      | held but too late blocks nothing | -\|4 | a:0/x/100h b:1/x/9000 | b | - | - | a:too_late |
      | suspect beside a suspect | w:2i\|4 | a:0/x/9000i b:1/x/9000 | b | - | - | - |
      | suspect alone | w:2\|4 | a:0/x/9000i b:1/x/9000 | a | - | - | - |
      | urgent suspends lower work | w:2 v:1\|2r | a:0/x/9000u | a | w | - | - |
      | urgent suspends the newest of a tier | w:1 v:1\|2r | a:0/x/9000u | a | v | - | - |
      | not urgent, waits while it has slack | w:2\|1r | a:0/x/9000 | - | - | - | - |
      | not urgent, suspends when slack is short | w:2\|1r | a:0/x/600 | a | w | - | - |
      | urgent behind a higher tier | w:2\|1r | a:0/x/9000 b:1/x/9000u | a | w | - | - |
      | urgent doesn't suspend higher tiers | w:1\|1r | a:0/x/9000 b:1/x/9000u | - | - | - | b:higher_tier |
      | urgent, only its own tier runs | w:1\|1r | b:1/x/9000u | - | - | - | b:higher_tier |
      | urgent, lower work can't be suspended | w:2\|1 | b:1/x/9000u | - | - | - | b:unstoppable |
      | urgent, lower work has its pull pending | w:2p\|1r | b:1/x/9000u | - | - | - | - |
      | urgent suspect beside a suspect | w:2i\|1r | b:1/x/9000ui | - | - | - | b:isolated |
      | urgent, lower work has its suspension pending | w:2sl v:1\|1r | b:1/x/9000u | - | - | - | - |
      | urgent, lower work is suspended | w:2s v:1\|1r | b:1/x/9000u | - | - | - | b:higher_tier |
      | suspended work before its own tier | w:1s\|2r | a:1/x/9000 | - | - | w | - |
      | suspended work after a higher tier | w:1s\|2r | a:0/x/9000 | a | - | - | - |
      | suspended work waits for room | w:1s v:1\|1r | a:2/x/9000 | - | - | - | - |
      | nothing offered | w:1s\|1r | - | - | - | w | - |

  Scenario Outline: The choice equals that of simple loops over all offers
    When <cases> choices with seed <seed> are compared with simple loops
    Then each choice is the same and at least <pulls> pull something

    Examples:
      | seed | cases | pulls |
      | 1 | 1500 | 300 |
      | 2 | 1500 | 300 |

  Scenario Outline: The index gives the same choice as sorting all offers
    When an offer book goes through <steps> random changes with seed <seed>
    Then each of its choices was the same as when sorting all its offers

    Examples:
      | seed | steps |
      | 1 | 1200 |
      | 2 | 1200 |

  Scenario Outline: Teams get engine time by weight
    Given teams with weights <weights> and always offers waiting
    When an upstream starts 1500 requests of sizes with seed <seed>
    Then each team's share of engine time is within 3% of its weight

    Examples:
      | weights | seed |
      | 1,1 | 1 |
      | 1,2,5 | 2 |
      | 7,1,1,1 | 3 |

  # Each start is charged 100 ms. At most 7 in a row: 5 for the credit of
  # 500 ms, 1 for the start that raised the other team, 1 for the tie.
  Scenario: A team that returns from a pause has only the fixed credit
    Given teams with weights 1,1 and always offers waiting
    When one team pauses for 1000 starts
    Then on its return neither team starts more than 7 in a row

  Scenario: No offer starves within a tier
    Given a team that offers 3 requests for every one started, all due after 60 s
    When an upstream starts 500 requests
    Then they start in the order of their deadlines

  Scenario: Late offers that choices don't reach are found by sweeping
    Given an offer book of 300 offers of which every third can't end in time
    When it is swept 5 times
    Then the 100 late offers are reported once and the rest are kept
