Feature: Claims on idempotency keys

  Scenario Outline: A key is looked up before its call waits
    Given a claims store where the key's row is <row>
    And the claims agent says <proof>
    When the claims store is <store> and body <body> is looked up
    Then the claims answer is <answer>

    Examples:
      | row        | proof         | store | body | answer      |
      | absent     | unknown       | ok    | f1   | Proceed     |
      | running    | never_started | ok    | f1   | Proceed     |
      | running    | running       | ok    | f1   | InProgress  |
      | running    | unknown       | ok    | f1   | OutcomeUnknown   |
      | running    | silence       | ok    | f1   | OutcomeUnknown   |
      | running    | never_started | ok    | f2   | BodyMismatch   |
      | done       | unknown       | ok    | f1   | Recorded    |
      | done       | unknown       | lost  | f1   | Unavailable |
      | done       | unknown       | ok    | f2   | BodyMismatch   |
      | done large | unknown       | ok    | f1   | Recorded    |
      | done soon  | unknown       | ok    | f1   | Recorded    |
      | unreadable | never_started | ok    | f1   | OutcomeUnknown   |
      | absent     | unknown       | down  | f1   | Unavailable |
      | absent     | unknown       | never | f1   | Unavailable |

  Scenario Outline: A key is claimed over a faulty store
    Given a claims store where the key's row is <row>
    When the claims store answers "<faults>" and then <rest> to a claim
    Then the claims answer is <answer>
    And the key's row belongs to <owner>

    Examples:
      | row     | faults             | rest  | answer      | owner |
      | absent  |                    | ok    | HeldClaim       | r2    |
      | absent  | lost               | ok    | HeldClaim       | r2    |
      | absent  | lost down down     | ok    | HeldClaim       | r2    |
      | absent  | late               | ok    | HeldClaim       | r2    |
      | absent  | down down lost     | ok    | HeldClaim       | r2    |
      | absent  | never              | ok    | HeldClaim       | r2    |
      | absent  | 6.0                | ok    | HeldClaim       | r2    |
      | absent  |                    | down  | Unavailable | none  |
      | absent  | lost               | down  | Unavailable | r2    |
      | running |                    | ok    | AlreadyClaimed   | r1    |
      | running | lost               | ok    | AlreadyClaimed   | r1    |
      | done    | down               | ok    | AlreadyClaimed   | r1    |

  Scenario: A claim given up is removed when the store is back
    Given a claims store where the key's row is absent
    When the claims store answers "lost" and then down to a claim
    And the claims store works again for 60 s
    Then the key's row belongs to none

  Scenario Outline: Whatever fails, a keyed call runs at most once
    When <seeds> claims models are played with <share> faults and mutant "<mutant>"
    Then the claims models with a breach are <breaches>

    Examples: as it is
      | seeds | share | mutant | breaches |
      | 60    | 0.0   |        | none     |
      | 60    | 0.2   |        | none     |
      | 60    | 0.5   |        | none     |

    Examples: mutants, each caught
      | seeds | share | mutant                       | breaches |
      | 60    | 0.2   | tombstone forgotten          | some     |
      | 60    | 0.2   | silence taken as proof       | some     |
      | 60    | 0.2   | lost answer taken as success | some     |
      | 60    | 0.2   | no claim before dispatch     | some     |
      | 60    | 0.2   | version ignored              | some     |

  Scenario: The key of one team is not the key of another
    Then the claim keys of these differ
      | team | service | key |
      | a    | s       | k   |
      | b    | s       | k   |
      | a    | t       | k   |
      | a    | s       | l   |
      | as   |         | k   |

  Scenario: Writes keep to the share of the process, urgent ones first
    Given a write budget of 10 a second with a burst of 3
    When 5 patient and then 5 urgent permits are taken
    Then the permits given by these times are
      | ms   | patient | urgent |
      | 0    | 3       | 0      |
      | 250  | 3       | 2      |
      | 550  | 3       | 5      |
      | 750  | 5       | 5      |
