Feature: Gateways confirm to each other that their data is current

  # Guards against a store load that grows with the number of gateways, and
  # against outdated data. Datagrams take 2 ms; pollers poll the store every
  # 500 ms.
  Scenario Outline: Of <count> gateways <follow> poll the store
    Given <count> gateways that exchange datagrams
    When the gateways run for 10 s
    Then <follow> gateways kept polling the store
    And no confirmation was ever older than 1100 ms
    And no list was ever older than 1100 ms

    Examples:
      | count | follow |
      | 1     | 1      |
      | 4     | 2      |
      | 29    | 2      |
      | 60    | 2      |

  Scenario Outline: All gateways get a change: <what>
    Given 29 gateways that exchange datagrams
    When the gateways run for 3 s
    And <what>
    And the gateways run for 1050 ms
    Then every gateway has the new version

    Examples:
      | what                           |
      | another version is published   |
      | an upstream is leaving         |

  Scenario Outline: A gateway without answers polls the store: <case>
    Given 6 gateways that exchange datagrams
    When the gateways run for 3 s
    And <case>
    And the gateways run for 10 s
    Then <asking> gateways kept polling the store
    And no confirmation was ever older than 2700 ms

    Examples:
      | case                                      | asking |
      | nothing else happens                      | 2      |
      | the first poller stops                    | 2      |
      | both pollers stop                         | 6      |
      | the first poller can't reach the store    | 2      |
      | the gateways can't reach each other       | 6      |

  # Guards against counting the age of a confirmation from the arrival of the
  # answer instead of from the question.
  Scenario: A delayed answer doesn't make a confirmation look newer
    Given 6 gateways that exchange datagrams
    When the gateways run for 3 s
    And datagrams take 4000 ms from now on and the store is unavailable
    And the gateways run for 10 s
    Then no confirmation appeared newer than it was
