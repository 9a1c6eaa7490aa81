Feature: The base version of a service

  A stream that isn't on record began at its service's base version. That must
  hold for all gateways, whatever some of them know.

  # Guards against a base version that changes while streams of the one before
  # go on, so that they would be joined with the new one.
  Scenario Outline: The base version changes once no stream of it can go on: <what>
    Given base versions of a service whose streams live 20 s, "v1" among them
    When <what>
    Then the base version to store is "<base>"

    Examples:
      | what | base |
      | time passes: 34 s with "v2" | - |
      | time passes: 36 s with "v2" | v2 |
      | time passes: 36 s with "v1,v2" | - |
      | time passes: 36 s with nothing | - |
      | time passes: 34 s with "v2", 1 s with "v1,v2" and 34 s with "v2" | - |
      | time passes: 20 s with "v2", 12 s without a list and 20 s with "v2" | - |
      | time passes: 20 s with "v2", 8 s without a list and 20 s with "v2" | v2 |

  # Guards against a gateway that takes an old version for the base version,
  # as another one has changed it meanwhile, or may yet, by a late write.
  Scenario Outline: Streams begin without a record only at what is known to be the base version: <what>
    Given base versions of a service whose streams live 20 s, "v1" among them
    When <what>
    Then a stream at "v1" needs a record: <needs>
    When the stored base versions are read
    Then a stream at "v1" needs a record: <once read>
    When those that are to be stored are stored
    Then a stream at "v1" needs a record: no

    Examples:
      | what | needs | once read |
      | time passes: 5 s with "v1,v2" | no | no |
      | time passes: 1 s with "v2", 1 s with "v1,v2" and 1 s with "v1,v2" | yes | yes |
      | time passes: 1 s with "v1", 12 s without a list and 1 s with "v1" | yes | yes |
      | time passes: 1 s with "v1", 8 s without a list and 1 s with "v1" | no | no |
      | the store is restored from a copy | yes | no |

  Scenario: What a restore of the store has cut back is stored again
    Given base versions of a service whose streams live 20 s, "v1" among them
    When time passes: 36 s with "v2"
    And it is stored, and the store comes back with "v1"
    Then the base version to store is "v2"

  Scenario Outline: Gateways that start at the same time agree: <versions>
    Given 6 gateways and engines of versions "<versions>"
    Then all gateways take "<base>" for the base version

    Examples:
      | versions | base |
      | v2 v1 | v1 |
      | v1 v2 v2 | v2 |

  # Guards against an event whose caller takes the stream up again at a gateway
  # that can't know where it began.
  Scenario: A caller has no event of another version before that is on record
    Given 1 gateway and engines of versions "v2 v1 v1"
    When each write of the store takes 300 ms
    And a caller asks for a stream
    And 240 ms pass at all gateways
    Then the caller has no event
    When 400 ms pass at all gateways
    Then the caller has an event of "v2"

  Scenario Outline: What can't be put on record in time begins at the base version: <what>
    Given 1 gateway and engines of versions "v2 v1 v1"
    When <what>
    And a caller asks for a stream
    And 900 ms pass at all gateways
    Then the caller has an event of "<version>"

    Examples:
      | what | version |
      | writes of the store fail | v1 |
      | writes of the store fail, and the engines of "v1" have left | v2 |

  # Guards against an event of the base version while the store may have, or
  # get, the record of another one.
  Scenario: What may be on record begins at the base version only after a while
    Given 1 gateway and engines of versions "v2 v1 v1"
    When each write of the store takes 5000 ms
    And a caller asks for a stream
    And 900 ms pass at all gateways
    Then the caller has no event
    When 900 ms pass at all gateways
    Then the caller has an event of "v1"

  # Guards against a row that a restore has removed, and that nobody can write
  # again as each one expects the version that it had.
  Scenario: A base version whose row a restore of the store has removed is stored again
    Given 2 gateways and engines of versions "v1 v1"
    When a restore of the store has removed all base versions
    And 2000 ms pass at all gateways
    Then each base version is stored, after at most 10 calls for it
