Feature: A saturated gateway keeps its proof of the configuration

  # Guards against refusals as configuration_unproven while the store answers:
  # a zone's gateways gave 834 of them within 5 s as their calls timed out. The
  # load: answers of <load> times a link of 10 Mbit/s for 20 s, whose queue
  # takes 1.2 s and loses 10% of the store's packets and 90% of datagrams while
  # it is full.
  Scenario Outline: The link of <who> is full: <load> times, the gateway <sheds>
    Given 6 gateways that follow the store, and the link of <who> carries <load> times its rate
    When callers ask it for 20 s, and it <sheds>
    Then it refused none as configuration_unproven
    And the proof was never older than 4000 ms

    Examples:
      | who | load | sheds |
      | a poller | 2 | sheds nothing |
      | a follower | 2 | sheds nothing |
      | a poller | 4 | sheds load |
      | a follower | 4 | sheds load |

  # The load: three times the requests that the processor can handle for 20 s;
  # timers and answers of the store wait until all that has arrived is handled.
  Scenario: The processor is full
    Given a gateway that follows the store and can handle 250 requests a second
    When callers send 750 requests a second for 20 s
    Then it refused none as configuration_unproven
    And the proof was never older than 4000 ms
    And 150 requests a second or more were let in
    And its timer was never later than 1000 ms

  # Guards against shedding for a single slow request or for slow readers, and
  # against a gateway that goes on shedding after a burst.
  Scenario Outline: What the guard sheds: <case>
    When for <seconds> s the timer is <late> ms late, <unsent> kB are unsent and the proof is <proof> of its time old
    Then the guard sheds <least> to <most> of new requests

    Examples:
      | case | seconds | late | unsent | proof | least | most |
      | nothing waits | 5 | 2 | 0 | 0.2 | 0 | 0 |
      | a little late | 5 | 50 | 0 | 0.2 | 0 | 0 |
      | slow readers | 5 | 2 | 4000 | 0.2 | 0 | 0 |
      | a full link | 1 | 2 | 1000 | 0.6 | 0.5 | 0.95 |
      | a full link with a new proof | 2 | 2 | 20000 | 0.2 | 0.5 | 0.95 |
      | a busy process | 1 | 150 | 0 | 0.2 | 0.5 | 0.95 |
      | a busy process for long | 10 | 150 | 0 | 0.2 | 0.95 | 0.95 |

  # Guards against shedding for seconds after a process was suspended, as its
  # next timer is late by all that time.
  Scenario: A suspended process isn't a busy one
    When a timer is 4000 ms late once
    Then the guard sheds 0 to 0 of new requests

  Scenario: The guard lets all in again after a burst
    When for 5 s the timer is 300 ms late, 0 kB are unsent and the proof is 0.2 of its time old
    And for 4 s the timer is 1 ms late, 0 kB are unsent and the proof is 0.2 of its time old
    Then the guard sheds 0 to 0 of new requests

  Scenario Outline: How long a call may wait for changes: <case>
    When a proof that lasts <lasts> ms is <age> ms old
    Then a call may wait for <wait> ms

    Examples:
      | case | lasts | age | wait |
      | it lasts for ever | 0 | 9000 | 1333 |
      | new | 4000 | 0 | 1333 |
      | as old as a call that waited | 4000 | 700 | 700 |
      | old | 4000 | 2000 | 0 |
      | none | 4000 | -1 | 0 |
      | it lasts for a short time | 600 | 100 | 110 |
