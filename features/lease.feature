Feature: Leases, orders and permits

  Two holders must never send orders to one upstream at once, and an older
  holder or configuration must not override a newer one, when processes pause
  or crash, clocks drift, or answers of the store are lost or stale.

  Scenario Outline: A lease changes hands
    Given an agent "a" that holds the lease of an upstream at epoch 1
    When lease holder "a" is <event>
    And agent "b" requests the lease for <seconds> seconds
    Then "<holder>" holds the lease at epoch <epoch>
    And no two agents ever held it at once

    Examples:
      | event                             | seconds | holder | epoch |
      | working                           | 60      | a      | 1     |
      | done                              | 6       | b      | 2     |
      | dead                              | 15      | nobody | 0     |
      | dead                              | 30      | b      | 2     |
      | paused for 60 s                   | 30      | b      | 2     |
      | paused for 5 s                    | 30      | a      | 1     |
      | suspended with its clock for 60 s | 61      | b      | 2     |
      | cut off from the store            | 30      | b      | 2     |
      | losing every second answer        | 60      | a      | 1     |
      | reading stale rows                | 60      | a      | 1     |

  Scenario Outline: Orders bring an upstream to its target state
    Given an upstream that <checks> the fencing number
    And an agent "a" with target "m1" from configuration 3
    When orders are sent while <fault> for <seconds> seconds
    Then the upstream has "<state>" after <orders> order
    And no order was sent outside the lease
    And the lease was released if the work is done

    Examples:
      | checks  | fault                               | seconds | state | orders |
      | checks  | nothing happens                     | 10      | m1    | 1      |
      | ignores | nothing happens                     | 10      | m1    | 1      |
      | checks  | the upstream already has "m1"       | 10      | m1    | 0      |
      | checks  | configuration 4 wants "m2"          | 20      | m2    | 2      |
      | checks  | an older configuration 2 wants "m0" | 20      | m1    | 1      |
      | checks  | the store is down                   | 20      | none  | 0      |
      | checks  | no permit is given                  | 20      | none  | 0      |
      | ignores | the first answer is lost            | 40      | m1    | 1      |
      | checks  | the order takes longer than it may  | 8       | none  | 2      |

  Scenario Outline: Holders race, pause, crash and restart
    When <count> seeded runs of 3 agents order an upstream that <checks>
    Then no order of an old holder was accepted after one of a newer holder
    And no order was sent outside the lease
    And no order outlasted the lease
    And no two holders' orders overlapped
    And every run ends in the newest target state

    Examples:
      | checks  | count |
      | checks  | 30    |
      | ignores | 30    |

  Scenario Outline: A holder is paused or cut off at each moment of its work
    When a holder of an upstream that <checks> is paused or cut off at 20 moments
    Then no order of an old holder was accepted after one of a newer holder
    And no order was sent outside the lease
    And no order outlasted the lease
    And no two holders' orders overlapped

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario Outline: Mutants of leases and orders are caught
    When seeded runs order an upstream that <checks> with the mutant "<mutant>"
    Then the runs of leases show <violation>

    Examples:
      | mutant                              | checks  | violation   |
      | a lease is taken over at once       | ignores | overlap     |
      | the fencing number stays the same   | checks  | outside     |
      | the fencing number stays the same   | ignores | same number |
      | an order may outlast the lease      | ignores | outlasting  |
      | the clock isn't read before sending | ignores | overlap     |
      | a pause is not noticed              | ignores | overlap     |
      | an older configuration may order    | checks  | old state   |
      | a renewal counts from its answer    | ignores | outlasting  |

  Scenario Outline: A shared bucket never grants more than its rate
    Given <takers> takers of a bucket of <rate> a second that holds <capacity>
    When they take all they can for <seconds> seconds with <fault>
    Then between <least> and <most> permits were granted

    Examples:
      | takers | rate | capacity | seconds | fault                 | least | most |
      | 1      | 2    | 4        | 60      | nothing wrong         | 100   | 124  |
      | 10     | 2    | 4        | 60      | nothing wrong         | 30    | 124  |
      | 50     | 10   | 10       | 60      | nothing wrong         | 300   | 610  |
      | 10     | 2    | 4        | 60      | lost and late answers | 20    | 124  |
      | 10     | 2    | 4        | 60      | clocks that run fast  | 30    | 126  |
      | 10     | 2    | 4        | 60      | the store down        | 0     | 0    |
      | 10     | 2    | 4        | 60      | stale reads           | 40    | 124  |

  Scenario Outline: Mutants of buckets are caught
    Given 10 takers of a bucket of 2 a second that holds 4
    When they take with lost answers and the mutant "<mutant>"
    Then more than 124 permits were granted

    Examples:
      | mutant                                     |
      | time before the row was seen is credited   |
      | a lost answer counts as a grant            |
      | the bucket may hold more than its capacity |
