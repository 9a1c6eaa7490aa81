Feature: The order in which an upstream starts requests

  Scenario Outline: Worked cases: <case>
    Given an upstream that holds <running>
    And bids <bids>
    When the upstream chooses
    Then it pulls "<pull>", suspends "<suspend>", resumes "<resume>" and skips "<skipped>"

    # A bid is id:tier/team/deadline, then flags: u urgent, h held, i suspect.
    # Running work is id:tier, then s suspended, l about to leave, p pulled,
    # i suspect, and the room's cap on running requests follows the bar; r: it
    # can suspend.
    Examples:
      | case | running | bids | pull | suspend | resume | skipped |
      | higher tier first | -\|4 | a:1/x/5000 b:0/x/9000 | b | - | - | - |
      | earliest deadline in a team | -\|4 | a:0/x/9000 b:0/x/5000 | b | - | - | - |
      | team below its weight first | -\|4 | a:0/x/5000 b:0/y/9000 | b | - | - | - |
      | too late even alone | -\|4 | a:0/x/100 b:1/x/9000 | b | - | - | a:too_late |
      | no room | w:1\|1 | a:0/x/9000 | - | - | - | - |
      | held counts for its tier | -\|4 | a:0/x/9000h b:1/x/9000 | - | - | - | - |
      | held lets its own tier pass | -\|4 | a:0/x/9000h b:0/x/9500 | b | - | - | - |
      | held but too late holds nothing back | -\|4 | a:0/x/100h b:1/x/9000 | b | - | - | a:too_late |
      | suspect beside a suspect | w:2i\|4 | a:0/x/9000i b:1/x/9000 | b | - | - | - |
      | suspect alone | w:2\|4 | a:0/x/9000i b:1/x/9000 | a | - | - | - |
      | urgent takes lower work's place | w:2 v:1\|2r | a:0/x/9000u | a | w | - | - |
      | urgent takes the newest of a tier | w:1 v:1\|2r | a:0/x/9000u | a | v | - | - |
      | not urgent waits with time left | w:2\|1r | a:0/x/9000 | - | - | - | - |
      | about to be late takes the place | w:2\|1r | a:0/x/600 | a | w | - | - |
      | urgent behind a higher tier | w:2\|1r | a:0/x/9000 b:1/x/9000u | a | w | - | - |
      | urgent spares the tier above it | w:1\|1r | a:0/x/9000 b:1/x/9000u | - | - | - | b:higher_tier |
      | urgent, only its own tier runs | w:1\|1r | b:1/x/9000u | - | - | - | b:higher_tier |
      | urgent, lower work can't stop | w:2\|1 | b:1/x/9000u | - | - | - | b:unstoppable |
      | urgent, lower work is only pulled | w:2p\|1r | b:1/x/9000u | - | - | - | - |
      | urgent suspect beside a suspect | w:2i\|1r | b:1/x/9000ui | - | - | - | b:isolated |
      | urgent, lower work is about to leave | w:2sl v:1\|1r | b:1/x/9000u | - | - | - | - |
      | urgent, lower work is suspended | w:2s v:1\|1r | b:1/x/9000u | - | - | - | b:higher_tier |
      | suspended work before its own tier | w:1s\|2r | a:1/x/9000 | - | - | w | - |
      | suspended work after a higher tier | w:1s\|2r | a:0/x/9000 | a | - | - | - |
      | suspended work waits for room | w:1s v:1\|1r | a:2/x/9000 | - | - | - | - |
      | nothing offered | w:1s\|1r | - | - | - | w | - |

  Scenario Outline: The choice equals plain loops over all offers
    When <cases> choices with seed <seed> are compared with plain loops
    Then each choice is the same and at least <pulls> pull something

    Examples:
      | seed | cases | pulls |
      | 1 | 1500 | 300 |
      | 2 | 1500 | 300 |

  Scenario Outline: The index equals sorting all offers
    When an offer book goes through <steps> random changes with seed <seed>
    Then each of its choices was that of sorting all its offers

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

  # Each start takes 100 ms: 5 for the credit of 500 ms, 1 for the start that
  # raised the other team, 1 for the tie.
  Scenario: A team that returns from a pause takes no stored-up credit
    Given teams with weights 1,1 and always offers waiting
    When one team pauses for 1000 starts
    Then on its return neither team starts more than 7 in a row

  Scenario: No offer starves inside a tier
    Given a team that offers 3 requests for every one started, all due after 60 s
    When an upstream starts 500 requests
    Then they start in the order of their deadlines

  Scenario: Offers deep in the book are found when they become too late
    Given an offer book of 300 offers of which each third can't end in time
    When it is swept 5 times
    Then the 100 late offers are reported once and the rest are kept
