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
