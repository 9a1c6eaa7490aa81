Feature: A gateway stops using upstreams that have left the list

  The row of an upstream is removed when it leaves, and also when it could not
  renew it for three heartbeats, as the store was away.

  # Guards against a row that is missing for good and is taken for one that
  # expired in an outage long over.
  Scenario Outline: An upstream that leaves without a word is soon unused: <before>
    Given 4 gateways that follow a store with upstreams "a,b,c"
    When <before>
    And 5 s pass for all gateways
    And upstream "b" leaves without a word
    And 1800 ms pass for all gateways
    Then no gateway uses "b"

    Examples:
      | before |
      | all goes well |
      | the store is away for 1000 ms |
      | the store is away for 2500 ms |
      | no gateway reaches the store for 2000 ms |

  # Guards against a gateway that takes its own lost path for an outage.
  Scenario Outline: An upstream that left while <whose> could not reach <what> is unused once it can
    Given 4 gateways that follow a store with upstreams "a,b,c"
    When <whose> can't reach <what> for 6 s, and "b" leaves meanwhile
    And 1500 ms pass for all gateways
    Then no gateway uses "b"

    Examples:
      | whose | what |
      | a gateway that polls | the store |
      | a gateway that doesn't poll | the store |
      | a gateway that polls | the store or the other gateways |
      | a gateway that doesn't poll | the store or the other gateways |

  # Guards against dropping upstreams that live and could not write.
  Scenario Outline: An upstream whose row expired while the store was away for <away> s stays in use: <count> gateways
    Given <count> gateways that follow a store with upstreams "a,b,c"
    When the store is away for <away> s, and the row of "b" expires meanwhile
    And 500 ms pass for all gateways
    Then all gateways use "b"
    And the log of each tells that "b" is kept
    When 3 s pass for all gateways
    Then all gateways use "b"

    Examples:
      | away | count |
      | 3 | 4 |
      | 8 | 4 |
      | 8 | 1 |

  # Guards against a word on the store that goes round and looks newer each
  # time.
  Scenario: Gateways that have all lost the store don't prove to each other that it is up
    Given 4 gateways that follow a store with upstreams "a,b,c"
    When datagrams between gateways take 600 ms
    And the store is away for 8 s, and the row of "b" expires meanwhile
    And 1000 ms pass for all gateways
    Then all gateways use "b"

  Scenario: An upstream that died while the store was away is unused two seconds after its return
    Given 4 gateways that follow a store with upstreams "a,b,c"
    When the store is away for 5 s, and "b" ends meanwhile
    And 2600 ms pass for all gateways
    Then no gateway uses "b"
