Feature: A request that crashes engines is kept from them, and sound ones go on

  Such a request crashes each engine that begins to answer it, and comes again,
  the same each time, at any gateway.

  # Guards against crashes that are forgotten while the request still comes.
  Scenario Outline: A repeated request reaches engines no longer once it has crashed three: <gateways> gateways, one each <gap> ms for <duration> s
    Given <gateways> gateways before <engines> engines
    When sound requests come for 2 s
    And 1 crashing request comes in turn each <gap> ms beside them for <duration> s
    Then no crashing request came more than 3 times later than 3 s after its third crash

    Examples:
      | gateways | engines | gap | duration |
      | 1 | 6 | 300 | 300 |
      | 4 | 6 | 300 | 1000 |
      | 4 | 18 | 7000 | 600 |

  # Guards against crashes that others push out of what gateways tell.
  Scenario: Crashes of engines full of sound requests don't hide those of a repeated one
    Given 6 gateways before 6 engines with 40 slots
    When sound requests come for 2 s
    And 1 crashing request comes in turn each 4000 ms for 200 s, and full engines crash beside it
    Then no crashing request came more than 3 times later than 3 s after its third crash

  # Guards against crashes that are forgotten when gateways restart.
  Scenario Outline: A request that has crashed three engines is known after restarts: <restarts>
    Given 4 gateways before 6 engines
    When sound requests come for 2 s
    And 1 crashing request comes in turn each 300 ms beside them for 10 s
    And <restarts>
    And 1 crashing request comes in turn each 300 ms beside them for 10 s
    And <restarts>
    And 1 crashing request comes in turn each 300 ms beside them for 20 s
    Then no crashing request came more than 3 times later than 3 s after its third crash

    Examples:
      | restarts |
      | all gateways restart at once |
      | all gateways restart one after the other |

  # Guards against a request that came before it was known, and waits.
  Scenario: A waiting request that crashes engines is not sent once that is known
    Given a gateway with one upstream of each service, whose slots are taken
    When a request waits, and crashes three upstreams at other gateways
    And the slots become free
    Then the waiting request is answered with 500 and was never sent

  # Guards against a trial that the logs don't connect with its request.
  Scenario: A trial of a blamed request is logged with the request's id
    Given a gateway with one upstream of each service, and a blamed request
    When the blamed request comes each 1000 ms for 12 s
    Then one of these requests was sent, and the line of its trial has its id

  # Guards against a trial that shows nothing, as its upstream was down.
  Scenario: A trial that was not sent goes to another upstream
    Given a gateway with 2 upstreams of each service, and a blamed request
    When the blamed request comes each 1000 ms for 12 s
    And the upstream of its trial accepts no connection
    Then the trial was sent to another upstream, and counted once

  # Guards against sound parts that are blamed for what whole requests cause.
  Scenario Outline: Sound requests go on beside crashing ones: <gateways> gateways, <engines> engines, <count> crashing, one each <gap> ms
    Given <gateways> gateways before <engines> engines
    And answers of <answer> ms, and crashing requests with <parts> parts
    When sound requests come for 2 s
    And <count> crashing requests come in turn each <gap> ms beside them for 40 s
    Then 0.95 of the sound requests are served from 10 s after the last new crashing one
    And no crashing request came more than 3 times later than 3 s after its third crash

    Examples:
      | gateways | engines | count | gap | answer | parts |
      | 4 | 6 | 6 | 300 | 1000 | no |
      | 4 | 6 | 6 | 300 | 1000 | shared |
      | 4 | 18 | 6 | 300 | 4000 | shared |
      | 4 | 27 | 20 | 200 | 300 | shared |
      | 1 | 6 | 3 | 300 | 100 | no |
      | 29 | 27 | 20 | 200 | 1000 | shared |
