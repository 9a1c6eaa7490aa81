Feature: A part of prompts that crashes engines is found and kept from them

  Such a part crashes each engine that begins to answer on it, whatever else
  the request holds. No two requests with it are alike; sound ones share their
  caller and their other parts.

  # Guards against a cause of crashes that is looked for in whole requests, by
  # each gateway for itself.
  Scenario Outline: Requests with the part reach engines no longer once five have crashed: <gateways> gateways, one each <gap> ms
    Given <gateways> gateways before <engines> engines
    When sound requests come for 2 s
    And requests with a bad part come each <gap> ms beside them for 25 s
    Then five engines crashed, and hardly any request with it came later than 3 s after that
    And sound requests begin as often as before from 6 s after that

    Examples:
      | gateways | engines | gap |
      | 1 | 6 | 500 |
      | 4 | 6 | 100 |
      | 4 | 6 | 500 |
      | 4 | 6 | 1500 |
      | 6 | 18 | 300 |
      | 29 | 27 | 300 |

  # Guards against trials that are counted anew with each old proof that peers
  # repeat.
  Scenario Outline: A part that was sound and turns bad is held as well: <gateways> gateways, <engines> engines
    Given <gateways> gateways before <engines> engines
    When sound requests come for 2 s
    And the part "aa0" turns bad, and requests come each 100 ms for 100 s
    Then engines got "aa0" at most 3 times later than 3 s after its fifth crash

    Examples:
      | gateways | engines |
      | 1 | 6 |
      | 4 | 6 |
      | 4 | 18 |

  # Guards against a first event that is taken for proof that a part is sound.
  Scenario: An engine that writes an event before it crashes counts as well
    Given 4 gateways before 6 engines
    And engines that write an event before they crash
    When sound requests come for 2 s
    And requests with a bad part come each 500 ms beside them for 25 s
    Then five engines crashed, and hardly any request with it came later than 3 s after that

  # Guards against a first part that is blamed with the bad one, as no sound
  # request gets through between the crashes.
  Scenario Outline: The first part of bad requests is not blamed with them: <gateways> gateways, <engines> engines
    Given <gateways> gateways before <engines> engines
    When requests with a bad part come each 200 ms for 20 s, and sound ones each 1500 ms
    Then sound requests begin in the last 10 s

    Examples:
      | gateways | engines |
      | 1 | 2 |
      | 4 | 2 |
      | 4 | 6 |

  # Guards against a connection that the machine of an engine accepts while the
  # engine ends: taken for a sign of life, it hides the crash, and the sound
  # request that is sent there next seems to have caused it.
  Scenario Outline: Engines accept connections for <closes> ms after they crashed: <gateways> gateways, <engines> engines
    Given <gateways> gateways before <engines> engines
    And engines whose port accepts connections <closes> ms longer
    When 70 bad requests and 70 sound ones come in turn
    Then no request was refused as one that crashes engines
    And engines got "bad0" 8 times at most

    Examples:
      | gateways | engines | closes |
      | 1 | 1 | 20 |
      | 1 | 1 | 100 |
      | 1 | 2 | 20 |
      | 1 | 2 | 100 |
      | 4 | 2 | 30 |
      | 4 | 6 | 30 |

  # Guards against crashes that are found out about anew after each restart.
  Scenario Outline: A blamed part is known after all gateways were restarted: <how>
    Given gateways that have blamed "bad0" and follow a store
    When all gateways are restarted at once <how>
    Then requests with "bad0" <outcome>

    Examples:
      | how | outcome |
      | 2 s later | are refused |
      | 2 s later, as one with an old row | are refused |
      | 2 s after it was proved sound | are sent |
      | 16 min later | are refused |
      | 61 min later | are sent |

  # Guards against a sound part that is blamed for crashes of another cause.
  Scenario Outline: No sound part is blamed: <cause>
    Given 4 gateways before 6 engines
    When sound requests come for 2 s
    And <cause>, while sound requests come and some with a rare part
    Then no request was refused as one that crashes engines

    Examples:
      | cause |
      | half of the engines crash at once each 4 s |
      | one engine after the other crashes each 700 ms |
      | all engines crash at once each 5 s |

  # Guards against an earlier attempt that is taken for an answer of this one.
  Scenario: A crash counts although an earlier attempt had brought data
    Given a gateway with two upstreams of each service
    When a stream with the parts "aa0,bad0" is broken off after its first event
    And its next attempt waits 700 ms and then crashes its upstream
    Then 1 crash counts against "aa0,bad0"

  # Guards against announcements that grow with each crash of the last minutes.
  Scenario: Peers are told of a crash without a blamed part for 3 s
    Given a gateway with two upstreams of each service
    When a stream with the parts "aa0,bad0" is broken off after its first event
    And its next attempt waits 700 ms and then crashes its upstream
    Then 1 crash is told to peers
    When 4 s pass at that gateway
    Then 0 crashes are told to peers
