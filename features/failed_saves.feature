Feature: What a failed save contained is saved soon

  # Guards against state that counts as saved before the store has it: a put
  # that fails left it unsaved until the next regular renewal, 5 s after the
  # last. A write that times out takes 1 s.
  Scenario Outline: A gateway has <what> to save and <fault>
    Given a gateway whose row was just written
    When it has <what> to save and <fault> until 2000 ms after that
    And 1600 ms pass
    Then its row holds <what>
    And nothing is left to be saved

    Examples:
      | what | fault |
      | used tokens | no write fails |
      | used tokens | writes fail |
      | used tokens | writes time out |
      | told use | no write fails |
      | told use | writes fail |
      | told use | writes time out |
      | a blame | no write fails |
      | a blame | writes fail |
      | a blame | writes time out |
      | a version | no write fails |
      | a version | writes fail |
      | a version | writes time out |

  Scenario Outline: More is used while a save is under way that <end>
    Given a gateway whose row was just written
    When tokens are used before and during a save that <end>
    And 2500 ms pass
    Then its row holds all used tokens

    Examples:
      | end |
      | succeeds |
      | fails |
