Feature: A stream goes on only at the software version that began it

  What two versions of an upstream's software write doesn't fit together, and
  upstreams don't check it. A caller whose connection broke takes the stream
  up again at any gateway, and names the attempt that brought its first event.

  # Guards against a gateway that continues a broken answer at the upstream with
  # the least load, whatever its version.
  Scenario Outline: An answer that breaks off goes on at its own version: <versions>, <what>
    Given 1 gateway and engines of versions "<versions>"
    When 4 streams begin at gateway 1
    And the engines of version "v1" <what>
    Then no stream holds events of two versions
    And the broken streams <end>

    Examples:
      | versions | what | end |
      | v1 v2 v2 | break off all streams | went on |
      | v1 v1 v2 v2 | break off all streams | went on |
      | v1 v2 v2 | leave and then break off all streams | were cut |
      | v1 v1 v2 v2 | leave and then break off all streams | were cut |

  # Guards against taking a new process for the one that had its id before.
  Scenario Outline: An upstream that starts again under its id is not taken for the one before: <versions>, then "<version>"
    Given 1 gateway and engines of versions "<versions>"
    When 4 streams begin at gateway 1
    And engine 1 starts again as version "<version>"
    And 1400 ms pass at all gateways
    Then no stream holds events of two versions
    And the broken streams <end>

    Examples:
      | versions | version | end |
      | v1 | v1 | went on |
      | v1 | v2 | were cut |
      | v1 v2 | v1 | went on |
      | v1 v2 | v2 | were cut |
      | v1 v2 | v3 | were cut |
      | v1 v1 v2 | v1 | went on |
      | v1 v1 v2 | v2 | went on |
      | v1 v1 v1 | v2 | went on |

  # Guards against a stream that a new process has begun, and that counts as one
  # of the version that was listed when it was sent (review/8).
  Scenario Outline: A stream of a process that the list doesn't show yet is not joined: <versions>, then "<version>", <what>
    Given 1 gateway and engines of versions "<versions>"
    When 4 streams begin at gateway 1
    And engine 1 starts again as version "<version>"
    And 6 streams begin at gateway 1 before the list is read
    And 1400 ms pass at all gateways
    And <what>
    And 400 ms pass at all gateways
    Then no stream holds events of two versions
    And at least one stream began at "<version>"

    Examples:
      | versions | version | what |
      | v1 v1 | v2 | engine 1 starts again as version "v2" |
      | v1 v1 | v2 | engine 1 starts again as version "v1" |
      | v1 v2 | v2 | engine 1 starts again as version "v1" |

  # Guards against a stream that is joined as it isn't known which process has
  # begun it, and against one that is cut though it is.
  Scenario Outline: An upstream has started again <ms> ms after streams were sent to it, and they have not ended
    Given 1 gateway and engines of versions "v1 v1"
    When 4 streams begin at gateway 1
    And engine 1 names a start <ms> ms after that, as version "v2"
    And 1400 ms pass at all gateways
    And the connections to engine 1 break
    Then no stream holds events of two versions
    And the broken streams <end>

    Examples:
      | ms | end |
      | 1 | were cut |
      | 4500 | were cut |
      | 5500 | went on |

  Scenario: A stream of a process that the list showed late is taken up at its own version
    Given 2 gateways and engines of versions "v1 v1"
    When engine 1 starts again as version "v2" before any stream
    And 6 streams begin at gateway 1 before the list is read
    And 2800 ms pass at all gateways
    And gateway 1 is killed
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least one stream began at "v2"
    And at least 6 streams go on

  # Guards against attempts without pause at the one upstream that is left.
  Scenario: A stream whose upstreams refuse connections is tried now and then
    Given 1 gateway and engines of versions "v1 v2"
    When 2 streams begin at gateway 1
    And the engines of version "v1" break off all streams and refuse connections
    And 1000 ms pass at all gateways
    Then each broken stream was sent again 5 to 12 times
    When the engines of version "v1" accept connections
    And 300 ms pass at all gateways
    Then no stream holds events of two versions
    And the broken streams went on

  # Guards against taking a caller's next attempt for a new request.
  Scenario Outline: A stream that its caller takes up goes on at its own version: <versions>, <what>
    Given 3 gateways and engines of versions "<versions>"
    When 12 streams begin at gateway 1
    And 1200 ms pass at all gateways
    And <what>
    And the callers take the streams up at gateway <at>
    Then no stream holds events of two versions
    And at least <least> streams go on
    And the others are refused as not run

    Examples:
      | versions | what | at | least |
      | v1 v1 v2 v2 | the callers' connections break | 1 | 12 |
      | v1 v1 v2 v2 | the callers' connections break | 2 | 12 |
      | v1 v1 v2 v2 | gateway 1 is killed | 2 | 12 |
      | v1 v1 v2 v2 | all gateways are killed and start again | 1 | 12 |
      | v1 v1 v2 v2 | all gateways are killed and start again | 3 | 12 |
      | v1 v1 v2 v2 | the store goes away and gateway 1 is killed | 2 | 0 |
      | v1 v1 v1 | gateway 1 is killed | 2 | 12 |
      | v1 v1 v1 | all gateways are killed and start again | 2 | 12 |
      | v1 v1 v1 | the store goes away and gateway 1 is killed | 2 | 12 |

  # Guards against a gateway that is killed before it could save anything.
  Scenario Outline: A stream whose version is not on record is not joined: <what>
    Given 3 gateways and engines of versions "v1 v1 v2 v2"
    When the store goes away
    And 12 streams begin at gateway 1
    And <what>
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And the others are refused as not run

    Examples:
      | what |
      | gateway 1 is killed |
      | the callers' connections break |
      | all gateways are killed and start again once the store is back |

  # Guards against a version that one gateway knows and another doesn't yet.
  Scenario Outline: A new version is not joined with the old one: <what>
    Given 3 gateways and engines of versions "v1 v1 v1"
    When 6 streams begin at gateway 1
    And an engine of version "v2" starts
    And streams begin at gateway 1 for 5000 ms
    And <what>
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least <share> of 100 streams that began go on
    And the others are refused as not run

    Examples:
      | what | share |
      | the callers' connections break | 90 |
      | gateway 1 is killed | 70 |
      | all gateways are killed and start again | 70 |

  Scenario: No stream begins at a new version before all gateways know it
    Given 3 gateways and engines of versions "v1 v1 v1"
    When gateway 2 can't reach the store or the other gateways
    And an engine of version "v2" starts
    And streams begin at gateway 1 for 5000 ms
    And the callers' connections break
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions

  # Guards against going on at what is left when the version has just ended.
  Scenario Outline: A stream of a version that has left is refused at once: <what>
    Given 3 gateways and engines of versions "v1 v2 v2"
    When 12 streams begin at gateway 1
    And 1200 ms pass at all gateways
    And the engines of version "v1" leave
    And <what>
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And the others are refused as not run
    And the log of each refusal names "v1"

    Examples:
      | what |
      | gateway 1 is killed |
      | all gateways are killed and start again |

  # Guards against giving a stream up while its upstreams are only missing.
  Scenario: A stream waits while no upstream of its service is listed
    Given 3 gateways and engines of versions "v1 v1"
    When 4 streams begin at gateway 1
    And the engines of version "v1" leave
    And gateway 1 is killed
    And the callers take the streams up at gateway 2
    Then no stream is refused as of a version that has left
    When an engine of version "v1" starts
    And 1200 ms pass at all gateways
    And the refused callers try again at gateway 2
    Then at least 4 streams go on

  Scenario: A version that left long ago doesn't keep streams from going on
    Given 3 gateways and engines of versions "v1 v2 v2"
    When the engines of version "v1" leave
    And 70000 ms pass at all gateways
    And 12 streams begin at gateway 1
    And all gateways are killed and start again
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least 12 streams go on
    And nothing about streams is left in the store but of those

  Scenario: A stream whose beginning its caller doesn't name is refused with a reason
    Given 1 gateway and engines of versions "v1 v2"
    When a caller asks at gateway 1 for the rest of an unnamed stream
    Then it is refused, and the log tells that the versions "v1,v2" are possible

  Scenario: What a restore of the store has cut back is saved again
    Given 3 gateways and engines of versions "v1 v1 v2 v2"
    When 12 streams begin at gateway 1
    And 600 ms pass at all gateways
    And the store comes back from a copy made before
    And 1200 ms pass at all gateways
    And all gateways are killed and start again
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least 12 streams go on

  # Guards against gateways that start after a restore of the store, and take
  # streams whose records it has cut back for ones of the base version.
  Scenario Outline: Streams whose records are cut back are not joined by gateways that start later: <after> ms after
    Given 3 gateways and engines of versions "v1 v1 v2 v2"
    When 12 streams begin at gateway 1
    And the store comes back from a copy made before
    And <after> ms pass at all gateways
    And all gateways are killed and start again
    And <later> ms pass at all gateways
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And the others are refused as not run

    Examples:
      | after | later |
      | 0 | 0 |
      | 20 | 0 |
      | 40 | 0 |
      | 0 | 600 |
      | 20 | 600 |

  # Guards against streams that nobody can go on with, as their gateway is gone
  # before it knew that they would have to be saved.
  Scenario Outline: A gateway that is gone as a version appears leaves nothing unknown: <gateways> gateways, <after> ms after
    Given <gateways> gateways and engines of versions "v1 v1 v1 v1"
    When 12 streams begin at gateway 1
    And an engine of version "v2" starts
    And <after> ms pass at all gateways
    And gateway 1 is killed
    And 2400 ms pass at all gateways
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions
    And at least 12 streams go on

    Examples:
      | gateways | after |
      | 2 | 0 |
      | 2 | 100 |
      | 2 | 400 |
      | 2 | 900 |
      | 2 | 1900 |
      | 2 | 4000 |
      | 3 | 100 |
      | 3 | 400 |
      | 3 | 1900 |

  # Guards against streams that are lost as many gateways save more seldom than
  # engines take until the first event.
  Scenario Outline: Among many gateways streams go on after half are killed: <gateways>, <versions>
    Given <gateways> gateways and engines of versions "<versions>"
    When the first <streams> gateways begin a stream each, up to its first event
    And half of the gateways are killed, gateway 1 among them
    And 2400 ms pass at all gateways
    And the callers take the streams up at the gateways that are left
    Then no stream holds events of two versions
    And at least <streams> streams go on

    Examples:
      | gateways | versions | streams |
      | 2 | v2 v1 v1 | 1 |
      | 6 | v2 v2 v1 v1 v1 | 3 |
      | 29 | v2 v2 v1 v1 v1 v1 | 14 |
      | 29 | v1 v1 v1 v2 v2 | 14 |

  # Guards against a gateway that knows of one version only, and takes it for
  # the one at which others have begun streams since.
  Scenario Outline: A gateway that <is out of step> joins nothing: among <gateways>, <old> has <left>
    Given <gateways> gateways and engines of versions "v1 v1 v1"
    When 2 streams begin at gateway 1
    And gateway 2 <is out of step>, and the others go on
    And the rows of the engines of version "<old>" end
    And an engine of version "v2" starts
    And <after> ms pass at all gateways
    And streams begin at gateway 1 for <for> ms
    And the callers' connections break
    And gateway 2 goes on if it stood still
    And the callers take the streams up at gateway 2
    Then no stream holds events of two versions

    Examples: the old version has left the list, though its engines serve on
      | gateways | is out of step | old | left | after | for |
      | 2 | can't reach the store or its peers | v1 | left | 1000 | 400 |
      | 3 | can't reach the store or its peers | v1 | left | 1000 | 400 |
      | 4 | can't reach the store or its peers | v1 | left | 1200 | 200 |
      | 3 | can't reach the store | v1 | left | 1000 | 400 |
      | 3 | can't reach its peers | v1 | left | 1000 | 400 |
      | 2 | stands still | v1 | left | 1000 | 400 |
      | 3 | stands still | v1 | left | 1000 | 400 |
      | 3 | stands still | v1 | left | 1000 | 3000 |

    Examples: both versions are listed
      | gateways | is out of step | old | left | after | for |
      | 2 | can't reach the store or its peers | - | not left | 20 | 5000 |
      | 3 | can't reach the store | - | not left | 20 | 5000 |
      | 3 | stands still | - | not left | 20 | 5000 |
