Feature: A service's requests move to a new version

  While a version isn't known to be good, it must get few requests, whatever
  becomes of gateways; and a good one must come into use in time.

  # Guards against steps that depend on one gateway, and exposure that grows
  # with starts, cuts and the store's absence.
  Scenario Outline: A roll-out <ends> when <case> (<load>)
    Given <gateways> gateways that get <per_s> requests a second, seed <seed>
    When a roll-out to a new version begins that <load>
    And <case>
    And the time of the roll-out is over
    Then the roll-out is <ends>
    And the new version had few requests until it was known to be good
    And it had none later than 5 s after its 50th bad answer
    And requests go only to the version that is in use

    Examples:
      | gateways | per_s | seed | load | case | ends |
      | 4 | 100 | 1 | is good | no fault occurs | completed |
      | 14 | 200 | 2 | is good | no fault occurs | completed |
      | 1 | 60 | 3 | is good | no fault occurs | completed |
      | 3 | 4 | 4 | is good | no fault occurs | completed |
      | 4 | 100 | 5 | fails 0.3 | no fault occurs | rolled_back |
      | 14 | 200 | 6 | fails 0.25 | no fault occurs | rolled_back |
      | 4 | 150 | 7 | is 5 times slower | no fault occurs | rolled_back |
      | 4 | 150 | 8 | fails 0.5 after 4 s | no fault occurs | rolled_back |
      | 4 | 100 | 9 | is good | the deciding gateway is killed | completed |
      | 4 | 100 | 10 | fails 0.3 | the deciding gateway is killed | rolled_back |
      | 6 | 100 | 11 | fails 0.3 | gateways are killed and started in turn | rolled_back |
      | 6 | 100 | 12 | is good | gateways are killed and started in turn | completed |
      | 4 | 100 | 13 | fails 0.4 | the store is away from 1 s to 6 s | rolled_back |
      | 4 | 100 | 14 | is good | the store is away from 1 s to 6 s | completed |
      | 4 | 100 | 21 | is good | the deciding gateway no longer reaches the store | completed |
      | 4 | 100 | 22 | fails 0.4 | the deciding gateway no longer reaches the store | rolled_back |
      | 4 | 100 | 15 | fails 0.4 | a gateway is cut off for 4 s | rolled_back |
      | 4 | 100 | 16 | is good | a gateway is cut off for 4 s | completed |
      | 4 | 150 | 17 | is good | an upstream of the new version is killed | completed |
      | 4 | 100 | 18 | is good | the order is removed | completed |
      | 4 | 100 | 19 | is good | the order is written again | completed |
      | 4 | 100 | 20 | fails 0.4 | the store loses the roll-out after 6 s | rolled_back |

  # Guards against changes where nobody has ordered a roll-out.
  Scenario: Without an order, a new version takes requests and nothing is told
    Given 3 gateways that get 50 requests a second, seed 1
    When a new version is listed without an order for 6 s
    Then both versions have had requests
    And gateways have told and counted nothing of roll-outs

  # Guards against a version that gets requests before its order is read.
  Scenario Outline: An order <written> its version is listed bounds all requests to it
    Given 4 gateways that get 100 requests a second, seed 1
    When a new version that fails 0.5 is ordered <written> it is listed
    And the time of the roll-out is over
    Then the roll-out is rolled_back
    And the new version had few requests until it was known to be good

    Examples:
      | written |
      | 2.0 s before |
      | 0.5 s after |
      | 0.9 s after |

  # Guards against a first new version that takes over while the next is judged.
  Scenario: A second order replaces the first one
    Given 4 gateways that get 100 requests a second, seed 1
    When a roll-out to a new version begins that is good
    And after 3 s another version is ordered that is good
    And the time of the roll-out is over
    Then the roll-out is completed
    And the first new version had few requests

  # Guards against joined streams, and requests at versions that are judged bad.
  Scenario Outline: In phase <phase>, requests go to <any>, those bound to v1 <to v1> and to v2 <to v2>
    Given a gateway that knows a roll-out from "v1" to "v2" in phase "<phase>" <stopped>
    Then a new request without credits may go to "<any>"
    And a stream of "v1" may go on: <to v1>
    And a stream of "v2" may go on: <to v2>

    Examples:
      | phase | stopped | any | to v1 | to v2 |
      | judging | going on | v1 | yes | yes |
      | judging | stopped | v1 | yes | no |
      | moving | going on | v2 | yes | yes |
      | moving | stopped | v1 | yes | no |
      | completed | going on | v2,v3 | no | yes |
      | rolled_back | going on | v1,v3 | yes | no |

  # Guards against a stream that is taken up at another version, as nothing else
  # is left or as the roll-out has ended.
  Scenario: Streams go on only at the version that began them
    Given 3 gateways and engines of versions "v1 v1 v1 v1"
    When streams begin, break off and are taken up while "v2" is rolled out
    Then streams have begun at "v1" and "v2", and none has both

  # Guards against counts that grow or vanish with datagrams.
  Scenario: Counts of a process are taken over once
    Given counts of two processes
    When what they tell arrives twice, late and not at all
    Then the sum has each answer once
