Feature: Where streams began is saved within bounds

  Scenario Outline: Streams that began over <minutes> minutes are all saved, in <writes> writes
    Given a gateway that remembers streams for <minutes> minutes
    When 1 stream begins each 5 s for <minutes> minutes
    And a second version is listed
    Then all streams are saved after <writes> writes of at most 50 segments
    And the first of these writes has the newest streams

    Examples:
      | minutes | writes |
      | 1 | 1 |
      | 10 | 3 |

  # Soak, seed 560: the store was away for 20 s, and so were the callers.
  Scenario: Streams that were forgotten before they could be saved stop no write
    Given a gateway that remembers streams for 1 minutes
    When 1 stream begins each 5 s for 1 minutes
    And a second version is listed
    And no stream begins for 2 minutes
    Then a write removes no row and saves no segment

  Scenario: A caller can't make a gateway hold requests without bound
    Given 1 gateway and engines of versions "v1 v2"
    When 1100 callers ask for the rest of streams that nobody knows
    Then at most 1000 of them wait, and the others are refused as not run
