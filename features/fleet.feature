Feature: Outcomes of calls when links, processes or upstreams fail
  Real request managers and dispatchers run over a simulated network. A
  fault must not make a non-idempotent call run twice, report a call that
  ran as not run, or give the caller two outcomes or a damaged answer.

  # Each cell: the outcome that the caller receives, and how many times an
  # upstream started the call. Points: the message of that name is in flight;
  # the upstream has the request and has not answered (prefilling); it has
  # sent one part of the answer (streaming).
  Scenario Outline: A fault at each point of a call
    Then a <kind> call with the fault "<fault>" at each point ends as follows
      | bid | pull | dispatch | prefilling | streaming | last message |
      | <bid> | <pull> | <dispatch> | <prefilling> | <streaming> | <last> |

    Examples: requests to a model
      | kind  | fault                | bid         | pull        | dispatch    | prefilling  | streaming   | last        |
      | model | no fault             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | entry killed         | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |
      | model | upstream crashed     | completed 1 | completed 1 | completed 1 | failed 1    | failed 1    | completed 1 |
      | model | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent draining       | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | agent paused         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | entry paused         | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | model | caller disconnected  | refused 0   | refused 0   | failed 1    | failed 1    | failed 1    | failed 1    |
      | model | deadline passed      | refused 0   | refused 0   | failed 0    | failed 1    | failed 1    | failed 1    |

    Examples: calls that may be repeated
      | kind       | fault                | bid         | pull        | dispatch    | prefilling  | streaming   | last        |
      | idempotent | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | idempotent | agent killed         | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 2 |
      | idempotent | upstream crashed     | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 1 |
      | idempotent | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | idempotent | agent paused         | completed 1 | completed 1 | completed 1 | completed 2 | completed 2 | completed 2 |
      | idempotent | deadline passed      | refused 0   | refused 0   | failed 0    | failed 1    | failed 1    | failed 1    |

    Examples: calls that may not be repeated
      | kind  | fault                | bid         | pull        | dispatch    | prefilling  | streaming   | last        |
      | fixed | link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | entry killed         | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |
      | fixed | upstream crashed     | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | fixed | upstream unreachable | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent draining       | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent paused         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | entry paused         | completed 1 | completed 1 | completed 1 | unknown 1   | unknown 1   | completed 1 |
      | fixed | caller disconnected  | refused 0   | refused 0   | unknown 1   | unknown 1   | unknown 1   | unknown 1   |
      | fixed | deadline passed      | refused 0   | refused 0   | unknown 0   | unknown 1   | unknown 1   | unknown 1   |

    Examples: combined and repeated faults
      | kind  | fault                             | bid         | pull        | dispatch    | prefilling  | streaming   | last        |
      | fixed | link cut and link cut             | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | link cut and agent killed         | completed 1 | completed 1 | unknown 0   | unknown 1   | unknown 1   | unknown 1   |
      | model | agent draining and link cut       | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | model | upstream unreachable and link cut | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 | completed 1 |
      | fixed | agent killed and entry killed     | nothing 0   | nothing 0   | nothing 0   | nothing 1   | nothing 1   | nothing 1   |

  # Invariants: each caller receives exactly one outcome; a call reported as
  # not run did not run; only idempotent calls run more than once; a complete
  # answer comes from a single run; a run reported as never_started does not
  # start later; nothing starts on a draining agent; no request or run remains
  # in a process at the end.
  Scenario Outline: Every single fault at every step of one call
    Then every single fault in one <kind> call keeps the invariants

    Examples:
      | kind       |
      | model      |
      | idempotent |
      | fixed      |

  Scenario Outline: Random message orders, losses, duplicates, pauses and crashes
    Then <seeds> random fleets with fault share <share> of "<faults>" keep the invariants

    Examples:
      | seeds | share | faults        |
      | 50    | 0.06  | all           |
      | 25    | 0.2   | all           |
      | 25    | 0.2   | advance probe |
      | 25    | 0.3   | deliver cut   |
      | 25    | 0.2   | cut advance   |

  Scenario Outline: The invariants detect a mutant of the request manager or dispatcher
    Then random fleets with fault share <share> of "<faults>" detect the mutant "<mutant>"

    Examples:
      | share | faults                  | mutant                                        |
      | 0.06  | all                     | dispatched request stays in the queue         |
      | 0.2   | advance probe           | tombstone forgotten                           |
      | 0.06  | all                     | agent's restart ignored                       |
      | 0.2   | advance probe           | forgotten run reported never started          |
      | 0.2   | advance probe           | run of another entry reported never started   |
      | 0.2   | advance probe           | dropped ids reported never started            |
      | 0.2   | cut advance             | lost run runs again                           |
      | 0.2   | cut advance             | lost run refused as not run                   |
      | 0.3   | deliver cut             | repeated dispatch starts                      |
      | 0.2   | advance probe           | stray dispatch starts                         |
      | 0.2   | cut advance             | every call retried                            |
      | 0.3   | cut stop_engine advance | retried call refused as not run               |
      | 0.3   | deliver cut             | chunks of an old run accepted, digest ignored |
      | 0.3   | deliver cut             | order of chunks ignored                       |
      | 0.06  | all                     | draining agent pulls                          |
      | 0.2   | all                     | deadline ignored                              |

  Scenario Outline: The audit of the traces finds what a mutant violates
    Then the audit of <seeds> fleets with fault share <share> of "<faults>" and the mutant "<mutant>" finds "<promise>"

    Examples:
      | seeds | share | faults              | mutant                      | promise                |
      | 20    | 0.1   | all                 |                             |                        |
      | 40    | 0.2   | cut advance         |                             |                        |
      | 40    | 0.2   | cut advance         | lost run runs again         | dispatched at most once |
      | 60    | 0.3   | cut stop_engine advance | retried call refused as not run | not run is true |
      | 40    | 0.2   | cut advance         | every call retried          | non-idempotent at most once |
