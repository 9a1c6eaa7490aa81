Feature: Claims on idempotency keys

  A call with an idempotency key must not run twice when answers of the store
  are lost or late, or when entries and agents crash between claim and answer.

  Scenario Outline: A key is looked up before its call is queued
    Given a store in which the claim row of the key is <row>
    And the agent answers the question about the run with <proof>
    When the key is looked up with body <body> while the store is <store>
    Then the result for the key is <answer>

    Examples:
      | row        | proof         | store | body | answer         |
      | absent     | unknown       | ok    | f1   | Proceed        |
      | running    | never_started | ok    | f1   | Proceed        |
      | running    | running       | ok    | f1   | InProgress     |
      | running    | unknown       | ok    | f1   | OutcomeUnknown |
      | running    | silence       | ok    | f1   | OutcomeUnknown |
      | running    | never_started | ok    | f2   | BodyMismatch   |
      | done       | unknown       | ok    | f1   | Recorded       |
      | done       | unknown       | lost  | f1   | Unavailable    |
      | done       | unknown       | ok    | f2   | BodyMismatch   |
      | done large | unknown       | ok    | f1   | Recorded       |
      | done soon  | unknown       | ok    | f1   | Recorded       |
      | unreadable | never_started | ok    | f1   | OutcomeUnknown |
      | absent     | unknown       | down  | f1   | Unavailable    |
      | absent     | unknown       | never | f1   | Unavailable    |

  Scenario Outline: A key is claimed over a faulty store
    Given a store in which the claim row of the key is <row>
    When the key is claimed while the store answers "<faults>" and then <rest>
    Then the result for the key is <answer>
    And the claim row belongs to run <owner>

    Examples:
      | row     | faults         | rest | answer         | owner |
      | absent  |                | ok   | HeldClaim      | r2    |
      | absent  | lost           | ok   | HeldClaim      | r2    |
      | absent  | lost down down | ok   | HeldClaim      | r2    |
      | absent  | late           | ok   | HeldClaim      | r2    |
      | absent  | down down lost | ok   | HeldClaim      | r2    |
      | absent  | never          | ok   | HeldClaim      | r2    |
      | absent  | 6.0            | ok   | HeldClaim      | r2    |
      | absent  |                | down | Unavailable    | none  |
      | absent  | lost           | down | Unavailable    | r2    |
      | running |                | ok   | AlreadyClaimed | r1    |
      | running | lost           | ok   | AlreadyClaimed | r1    |
      | done    | down           | ok   | AlreadyClaimed | r1    |

  Scenario: An abandoned claim is removed once the store is available
    Given a store in which the claim row of the key is absent
    When the key is claimed while the store answers "lost" and then down
    And the store of the claim is available again for 60 s
    Then the claim row belongs to run none

  Scenario Outline: A call with a key runs at most once under any fault
    When <seeds> simulations of claims run with <share> faults and mutant "<mutant>"
    Then the simulations with a violation are <violations>

    Examples: without a mutant
      | seeds | share | mutant | violations |
      | 60    | 0.0   |        | none       |
      | 60    | 0.2   |        | none       |
      | 60    | 0.5   |        | none       |

    Examples: mutants, each caught
      | seeds | share | mutant                       | violations |
      | 60    | 0.2   | tombstone forgotten          | some       |
      | 60    | 0.2   | silence taken as proof       | some       |
      | 60    | 0.2   | lost answer taken as success | some       |
      | 60    | 0.2   | no claim before dispatch     | some       |
      | 60    | 0.2   | version ignored              | some       |

  Scenario: Teams and services do not share keys
    Then the row keys of these calls all differ
      | team | service | key |
      | a    | s       | k   |
      | b    | s       | k   |
      | a    | t       | k   |
      | a    | s       | l   |
      | as   |         | k   |

  Scenario: Writes stay within the share of the process, urgent ones first
    Given a write budget of 10 a second with a burst of 3
    When 5 background and then 5 urgent permits are taken
    Then the permits granted by these times are
      | ms  | background | urgent |
      | 0   | 3          | 0      |
      | 250 | 3          | 2      |
      | 550 | 3          | 5      |
      | 750 | 5          | 5      |
