Feature: What callers are told when things fail, on real desks and dispatchers

  # Each cell: what the caller is told, and how often an upstream began the
  # call. Points: the message of that name is under way; the upstream has
  # the request and hasn't answered; it has answered a part.
  Scenario Outline: A fault strikes at each point in the life of a call
    Then a <kind> call ends so when <fault> strikes at
      | bid | pull | dispatch | prefilling | streaming | last frame |
      | <bid> | <pull> | <dispatch> | <prefilling> | <streaming> | <last> |

    Examples: requests to a model
      | kind  | fault                | bid | pull | dispatch | prefilling | streaming | last |
      | model | no fault             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | entry killed         | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |
      | model | upstream crashed     | completed 1 | completed 1 | completed 1 | failed 1    | failed 1    | completed 1 |
      | model | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent leaving        | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent paused         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | entry paused         | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | model | caller gone          | refused 0   | refused 0   | failed 1    | failed 1    | failed 1    | failed 1    |
      | model | time over            | refused 0   | refused 0   | failed 0    | failed 1    | failed 1    | failed 1    |

    Examples: calls that may be repeated
      | kind       | fault                | bid | pull | dispatch | prefilling | streaming | last |
      | idempotent | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | idempotent | agent killed         | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 2 |
      | idempotent | upstream crashed     | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 1 |
      | idempotent | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | idempotent | agent paused         | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 2 |
      | idempotent | time over            | refused 0   | refused 0   | failed 0    | failed 1    | failed 1    | failed 1    |

    Examples: calls that may not be repeated
      | kind  | fault                | bid | pull | dispatch | prefilling | streaming | last |
      | fixed | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | entry killed         | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |
      | fixed | upstream crashed     | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | fixed | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent leaving        | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent paused         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | entry paused         | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | fixed | caller gone          | refused 0   | refused 0   | unknown 1   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | time over            | refused 0   | refused 0   | unknown 0   | unknown 1   | unknown 1   | unknown 1   |

    Examples: faults together and twice
      | kind  | fault                             | bid | pull | dispatch | prefilling | streaming | last |
      | fixed | link cut and link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | link cut and agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | agent leaving and link cut        | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | upstream unreachable and link cut | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent killed and entry killed     | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |

  # Invariants: told one outcome; not run is true; at most one run, save of
  # calls that may be repeated; a whole answer of one run; never_started is
  # kept; nothing starts on a leaving agent; nothing is left behind.
  Scenario Outline: Every place for a fault in the course of one call
    Then one <kind> call keeps the fleet's invariants with every single fault

    Examples:
      | kind       |
      | model      |
      | idempotent |
      | fixed      |

  Scenario Outline: Random orders, losses, repeats, pauses and crashes
    Then <seeds> random fleets with <share> of <faults> keep the invariants

    Examples:
      | seeds | share | faults        |
      | 50    | 0.06  | all           |
      | 25    | 0.2   | all           |
      | 25    | 0.2   | advance probe |
      | 25    | 0.3   | deliver cut   |
      | 25    | 0.2   | cut advance   |

  Scenario Outline: A planted mistake is caught
    Then random fleets with <share> of <faults> catch "<mutant>"

    Examples:
      | share | faults        | mutant                                     |
      | 0.06  | all           | dispatched request stays in the queue      |
      | 0.2   | advance probe | tombstone forgotten                        |
      | 0.06  | all           | agent's restart ignored                    |
      | 0.2   | advance probe | forgotten run said never started           |
      | 0.2   | advance probe | run of another entry said never started    |
      | 0.2   | advance probe | dropped ids said never started             |
      | 0.2   | cut advance   | lost run runs again                        |
      | 0.2   | cut advance   | lost run refused as not run                |
      | 0.3   | deliver cut   | repeated dispatch starts                   |
      | 0.2   | advance probe | stray dispatch starts                      |
      | 0.2   | cut advance   | every call retried                         |
      | 0.3   | cut stop_engine advance | retried call refused as not run |
      | 0.3   | deliver cut   | frames of an old run heard, digest ignored |
      | 0.3   | deliver cut   | order of frames ignored                    |
      | 0.06  | all           | leaving agent pulls                        |
      | 0.2   | all           | deadline ignored                           |

  Scenario Outline: The audit of a fleet's traces agrees with the model
    Then the audit of <seeds> fleets with <share> of <faults> and "<mutant>" finds "<promise>"

    Examples:
      | seeds | share | faults              | mutant                      | promise                |
      | 20    | 0.1   | all                 |                             |                        |
      | 40    | 0.2   | cut advance         |                             |                        |
      | 40    | 0.2   | cut advance         | lost run runs again         | dispatched at most once |
      | 60    | 0.3   | cut stop_engine advance | retried call refused as not run | not run is true |
      | 40    | 0.2   | cut advance         | every call retried          | non-idempotent at most once |
