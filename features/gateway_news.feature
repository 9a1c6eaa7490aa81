Feature: Gateways confirm to each other what the store last said

  # Messages take 2 ms; gateways that follow the store ask it each 500 ms.
  Scenario Outline: Of <count> gateways <follow> follow the store
    Given <count> gateways that hear each other
    When 10 s of that pass
    Then <follow> gateways kept asking the store
    And no proof was ever older than 1100 ms
    And no list was ever older than 1100 ms

    Examples:
      | count | follow |
      | 1     | 1      |
      | 4     | 2      |
      | 29    | 2      |
      | 60    | 2      |

  Scenario Outline: What all must learn: <what>
    Given 29 gateways that hear each other
    When 3 s of that pass
    And <what>
    And 1050 ms of that pass
    Then every gateway has learnt it

    Examples:
      | what                           |
      | another version is published   |
      | an upstream is leaving         |

  Scenario Outline: Whoever isn't answered asks the store itself: <case>
    Given 6 gateways that hear each other
    When 3 s of that pass
    And <case>
    And 10 s of that pass
    Then <asking> gateways kept asking the store
    And no proof was ever older than 2700 ms

    Examples:
      | case                                      | asking |
      | nothing else happens                      | 2      |
      | the first that follows stops              | 2      |
      | both that follow stop                     | 6      |
      | the first that follows can't reach it     | 2      |
      | gateways are parted from each other       | 6      |

  Scenario: An answer that was long on its way proves no more than it should
    Given 6 gateways that hear each other
    When 3 s of that pass
    And messages take 4000 ms from now on, and the store is away
    And 10 s of that pass
    Then no proof seemed younger than it was
