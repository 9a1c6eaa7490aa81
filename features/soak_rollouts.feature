Feature: The soak test judges roll-outs from what callers and runners saw

  # A check that misses a breach makes the soak test pass on broken programs;
  # each is therefore run on histories with and without a breach.

  Scenario Outline: A version that got <new> of <all> requests: <promise>, <how>
    Given a roll-out to a <version> version for <duration> ms that is "<state>" after <ended> ms
    And <all> requests, one each <gap> ms, of which the new version got the first <new> and answered <bad> badly
    And <fault>
    When the history of roll-outs is checked
    Then "<promise>" alone is reported as broken

    Examples:
      | promise | how | version | duration | state | ended | all | gap | new | bad | fault |
      | EXPOSURE | a tenth and 51 | bad | 10000 | running | 0 | 100 | 10 | 61 | 0 | no fault |
      | - | a tenth and 50 | bad | 10000 | running | 0 | 100 | 10 | 60 | 0 | no fault |
      | - | good | good | 10000 | running | 0 | 100 | 10 | 90 | 0 | no fault |
      | - | half of them after its limit | bad | 500 | running | 0 | 200 | 10 | 55 | 0 | no fault |
      | EXPOSURE | 6 s after 50 bad answers | bad | 200000 | running | 0 | 200 | 600 | 60 | 60 | no fault |
      | - | 5 s after 50 bad answers | bad | 200000 | running | 0 | 200 | 500 | 60 | 60 | no fault |
      | - | 6 s after 49 bad answers | bad | 200000 | running | 0 | 200 | 600 | 60 | 49 | no fault |
      | - | 6 s after them, at a gateway that stood still | bad | 200000 | running | 0 | 200 | 600 | 60 | 60 | a pause of entry-0 from 34000 to 36000 ms |
      | EXPOSURE | 6 s after them, the store being away | bad | 200000 | running | 0 | 200 | 600 | 60 | 60 | a store_away of store from 1000 to 60000 ms |
      | - | completed before 50 bad answers | bad | 200000 | completed | 20000 | 200 | 600 | 60 | 60 | no fault |
      | ROUTE | 3.1 s after its roll-back | bad | 10000 | rolled_back | 1000 | 50 | 100 | 42 | 0 | no fault |
      | - | 2.9 s after its roll-back | bad | 10000 | rolled_back | 1000 | 50 | 100 | 39 | 0 | no fault |
      | - | 3.1 s after its roll-back, after a kill | bad | 10000 | rolled_back | 1000 | 50 | 100 | 42 | 0 | a kill of entry-0 from 500 to 1500 ms |
      | ROUTE | 3.1 s after it, another one killed | bad | 10000 | rolled_back | 1000 | 50 | 100 | 42 | 0 | a kill of entry-1 from 500 to 1500 ms |

  Scenario Outline: A former runner stops <left> ms before the limit: <promise>, <how>
    Given a roll-out to a good version for 10000 ms that is "completed" after <ended> ms
    And a request that runs at a former runner when it stops, which is <answer>
    And <fault>
    When the history of roll-outs is checked
    Then "<promise>" alone is reported as broken

    Examples:
      | promise | how | ended | left | answer | fault |
      | LOST | cut | 6000 | 4000 | cut | no fault |
      | - | whole | 6000 | 4000 | whole | no fault |
      | - | its caller had gone | 6000 | 4000 | left by its caller | no fault |
      | LOST | cut early | 9000 | 1000 | cut | no fault |
      | - | cut at the latest moment | 9500 | 500 | cut | no fault |
      | - | cut beside a kill of its gateway | 6000 | 4000 | cut | a kill of entry-0 from 5000 to 5500 ms |
      | LOST | cut beside a kill of another gateway | 6000 | 4000 | cut | a kill of entry-1 from 5000 to 5500 ms |

  Scenario: A request that ran at another service is reported
    Given a roll-out to a good version for 10000 ms that is "running" after 0 ms
    And a request of a plain service that ran at a model
    When the history of roll-outs is checked
    Then "ROUTE" alone is reported as broken

  Scenario Outline: Orders depend only on the seed: <seed>
    Then the orders of seed <seed> are the same twice and end before the time without faults
    And two orders for a service don't overlap

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
