Feature: Streams that their callers take up again, under overload

  A caller whose connection broke takes its stream up again at any gateway. It
  has few tries; what it has of the text is of no use unless the stream goes
  on, and an engine has worked for it.

  # Guards against streams that wait behind new ones, or that are refused by an
  # estimate, as it has taken time to find out where they began. Two engines
  # have 4 slots each; first data comes 250 ms after sending, the end after
  # 1 s, so that the capacity is 8 requests per second. Answers should begin
  # within 400 ms.
  Scenario Outline: Under lasting overload: <load> times, engines of "<versions>", found after <found> ms
    Given a gateway with engines of versions "<versions>", where the store tells after <found> ms where streams began
    When callers send <load> times their capacity for 12 s, and take <taken_up> streams of version "v1" up again each second
    Then at least 0.9 of the streams that were taken up go on
    And at least 0.85 of the answers began on time
    And new requests were served as well

    Examples:
      | load | versions | found | taken_up |
      | 0.5 | v1 v1 | 150 | 2 |
      | 2 | v1 v1 | 0 | 2 |
      | 2 | v1 v1 | 150 | 2 |
      | 2 | v1 v1 | 400 | 2 |
      | 4 | v1 v1 | 0 | 2 |
      | 4 | v1 v1 | 150 | 2 |
      | 4 | v1 v1 | 400 | 2 |
      | 4 | v1 v2 | 150 | 2 |
      | 4 | v1 v2 | 400 | 2 |

  # Guards against a gateway that has started nothing yet, and so takes every
  # wait for too long.
  Scenario Outline: After all gateways were killed: <taken_up> streams beside <new> new ones, found after <found> ms
    Given a gateway with engines of versions "v1 v1", where the store tells after <found> ms where streams began
    When <new> new requests come, and <taken_up> streams of version "v1" are taken up again at once
    And 3000 ms pass at the engines
    Then at least 0.9 of the streams that were taken up go on

    Examples:
      | new | taken_up | found |
      | 0 | 12 | 150 |
      | 8 | 8 | 150 |
      | 40 | 8 | 0 |
      | 40 | 8 | 150 |

  # Guards against callers who claim to take a stream up, and by that overtake
  # requests that are more important. Some go first as their route is owed a
  # part of what is served (served_floor.feature).
  Scenario: More important requests go first all the same
    Given a gateway with engines of versions "v1 v1", where the store tells after 0 ms where streams began
    When 8 new requests come, and 8 streams of version "v1" are taken up again at once
    And 4 more important requests come 900 ms later
    Then these are sent before 6 of the 8 streams
