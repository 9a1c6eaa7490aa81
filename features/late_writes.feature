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

  # Guards against a gateway that is killed after a late write, and starts again
  # with less than it had used (QUOTA).
  Scenario Outline: What a gateway has saved stays in its row: <late> ms late
    Given a gateway whose row was just written
    When it uses tokens while its writes are performed <late> ms late
    And it uses tokens again after 1200 ms
    And its row is watched for 6000 ms
    Then its row never holds less than before

    Examples:
      | late |
      | 1600 |
      | 2400 |
      | 3600 |

  # Guards against the write of an ended process that replaces the row of the
  # one after it.
  Scenario Outline: The last write of an ended process is performed late: <late> ms
    Given a gateway whose row was just written
    When it uses tokens while its writes are performed <late> ms late
    And it is killed and starts again after <pause> ms, with writes that take 4 ms
    And its row is watched for 6000 ms
    Then its row never holds less than before

    Examples:
      | late | pause |
      | 400 | 1000 |
      | 1200 | 600 |
      | 2400 | 600 |

  # Guards against a process that doesn't see what was written after it had
  # read its row.
  Scenario Outline: The last write of an ended process counts after a start: <late> ms late
    Given a gateway whose row was just written
    When it uses tokens while its writes are performed <late> ms late
    And it is killed and starts again after 600 ms, with writes that take 100 ms
    And its row is watched for 1000 ms
    Then its row never holds less than before
    And the new process has counted all used tokens

    Examples:
      | late |
      | 400 |
      | 620 |

  # Guards against a record of the version at which a stream didn't begin in the
  # end: its write got no answer, and the stream was sent to the base version.
  Scenario Outline: A stream that was sent again goes on at the version that began it: killed after <after> ms, <late> ms late
    Given 2 gateways and engines of versions "v1 v1 v2 v2"
    When 8 streams begin at gateway 1 within 160 ms
    And writes are performed <late> ms late for <after> ms
    And gateway 1 is killed
    And <late> ms pass at all gateways
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions

    Examples:
      | late | after |
      | 0 | 400 |
      | 0 | 800 |
      | 0 | 1000 |
      | 600 | 800 |
      | 600 | 1000 |
      | 1600 | 1000 |

  # Guards against a change of the base version that is performed once the
  # former one is back, and streams have begun at it without a record.
  Scenario Outline: The base version changes late, as its former one is back: <late> ms late, <gap> ms
    Given 2 gateways and engines of versions "v1 v1 v2"
    When the engines of version "v1" leave
    And the base version is to change, by a write that is performed <late> ms late
    And an engine of version "v1" starts
    And <gap> ms pass at all gateways
    And writes of the store fail
    And 8 streams begin at gateway 1
    And gateway 1 is killed
    And <late> ms pass at all gateways
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions

    Examples:
      | late | gap |
      | 400 | 2400 |
      | 3000 | 2400 |
      | 6000 | 2400 |
      | 6000 | 3600 |
