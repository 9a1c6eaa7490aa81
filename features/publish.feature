Feature: Publishing configurations

  A publish must not be lost, accepted twice or overwritten when operators
  race or when the answer to a write is lost, late or dropped.

  Scenario Outline: One operator publishes while the store is faulty
    Given generation 1 publishes "gold=1 basic=2" by "ada"
    And the next store calls answer "<faults>"
    When "bo" publishes "gold=1 basic=3" from generation 1
    Then the publish ends as <outcome>
    And generation <generation> is in force with "<tiers>"
    And the history of every generation is complete

    Examples:
      | faults                                     | outcome   | generation | tiers          |
      |                                            | Published | 2          | basic=3 gold=1 |
      | read_row:down                              | Published | 2          | basic=3 gold=1 |
      | read_row:stale                             | Published | 2          | basic=3 gold=1 |
      | write_object:lost                          | Published | 2          | basic=3 gold=1 |
      | write_object:dropped                       | Published | 2          | basic=3 gold=1 |
      | write_object:down                          | Published | 2          | basic=3 gold=1 |
      | write_row:lost                             | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:lost                | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:dropped             | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:late                | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:lost read_row:stale | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:lost read_row:down  | Published | 2          | basic=3 gold=1 |
      | write_row:ok write_row:ok write_row:lost   | Published | 2          | basic=3 gold=1 |

  Scenario Outline: Two operators race
    Given generation 1 publishes "gold=1 basic=2" by "ada"
    When "bo" publishes "<bo>" from generation 1
    And "cy" publishes "<cy>" from generation 1
    Then the publish ends as <outcome>
    And generation <generation> is in force with "<tiers>"
    And the refusal names "<names>"

    Examples:
      | bo                    | cy                    | outcome     | generation | tiers                  | names           |
      | gold=1 basic=3        | gold=4 basic=2        | Published   | 3          | basic=3 gold=4         |                 |
      | gold=1 basic=2 late=5 | gold=1                | Published   | 3          | gold=1 late=5          |                 |
      | gold=1 basic=3        | gold=1 basic=4        | Conflicting | 2          | basic=3 gold=1         | basic by bo     |
      | gold=1                | gold=1 basic=4        | Conflicting | 2          | gold=1                 | basic by bo     |
      | gold=1 basic=3        | gold=1 basic=3        | Unchanged   | 2          | basic=3 gold=1         |                 |
      | gold=1 basic=2 late=5 | gold=1 basic=2 soon=5 | Rejected    | 2          | basic=2 gold=1 late=5  | rank 5 is twice |

  Scenario Outline: An operator retries after a lost answer
    Given generation 1 publishes "gold=1" by "ada"
    And the store answers every swap of the head "<fault>" and then goes down
    When "bo" publishes "gold=2" from generation 1
    Then the publish ends as PublishUndecided
    When the store recovers and late writes take effect
    And "cy" publishes "gold=1 late=7" from generation 1
    And "bo" publishes "gold=2" from generation 1 with the same publish id
    Then the publish ends as Published
    And generation 3 is in force with "gold=2 late=7"
    And "bo" was accepted 1 time

    Examples:
      | fault   |
      | lost    |
      | dropped |
      | late    |

  Scenario Outline: A set that can't be published is reported
    Given generation 1 publishes "gold=1" by "ada"
    When "bo" publishes "<tiers>" from generation <base>
    Then the publish ends as <outcome>
    And generation 1 is in force with "gold=1"

    Examples:
      | tiers         | base | outcome      |
      | gold=1 tin=1  | 1    | Rejected     |
      | gold=1        | 1    | Unchanged    |
      | gold=2        | 9    | PublishError |

  Scenario: No order of store calls and faults corrupts the history
    When up to 3 publishers race through 400 seeded orders of calls and faults
    Then no generation was accepted twice and none reverted
    And every publish reported as accepted is in the history once

  Scenario Outline: Mutants of the publisher are caught
    When publishers race with the mutant "<mutant>"
    Then some order of calls shows a wrong history

    Examples:
      | mutant                                  |
      | history isn't written before the swap   |
      | a lost swap counts as not made          |
      | the expected version isn't checked      |
      | overlapping changes are merged          |
      | the merged set isn't checked            |
      | the history isn't searched for the id   |
