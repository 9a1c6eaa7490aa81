Feature: Writes that are performed late undo no newer ones

  A write whose answer is lost may be performed seconds later. It must not
  replace what the store has acknowledged since.

  # Guards against a late write that removes streams from their row, so that
  # they are taken for ones of the base version (review/7).
  Scenario Outline: Streams whose records a late write has left out go on at their version: <late> ms late
    Given 2 gateways and engines of versions "v1 v1 v2 v2"
    When 4 streams begin at gateway 1
    And 1 stream begins at gateway 1 while writes are performed <late> ms late
    And 8 streams begin at gateway 1
    And <late> ms pass at all gateways
    And gateway 1 is killed
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least 13 streams go on

    Examples:
      | late |
      | 0 |
      | 400 |
      | 1000 |
      | 1600 |
      | 2400 |
      | 4000 |
