Feature: Any input is accepted or refused with the place of the error

  Scenario Outline: Generated input
    Then for <count> generated inputs, <property> holds

    Examples:
      | count | property |
      | 200 | any bytes decode or raise ObjectsError |
      | 150 | any JSON decodes or raises ObjectsError |
      | 150 | an invalid field is refused with its object and field |
      | 60 | any set can be checked and decoded from its canonical form |
      | 150 | any revision changes one object or raises ObjectsError |
      | 60 | any settings load or raise SettingsError |

  Scenario Outline: Input that is nested too deeply is refused
    When objects are parsed from <depth> nested lists
    Then the objects are refused with a message that contains "<message>"

    Examples:
      | depth | message |
      | 500 | is not a list |
      | 900 | is not |
      | 100000 | input: is nested too deeply |
