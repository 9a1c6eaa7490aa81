Feature: Any input is either taken or refused with its place

  Scenario Outline: Generated input
    Then for <count> generated inputs, <property> holds

    Examples:
      | count | property |
      | 200 | any bytes decode or are refused by the objects' own error |
      | 150 | any JSON decodes or is refused by the objects' own error |
      | 150 | a wrong field is refused with its object and field |
      | 60 | any set is checked and read back from its canonical form |
      | 150 | any revision changes one object or is refused |
      | 60 | any settings load or are refused by the settings' own error |

  Scenario Outline: Nesting that is too deep is refused
    When objects are parsed from <depth> nested lists
    Then the objects are refused as "<message>"

    Examples:
      | depth | message |
      | 500 | is not a list |
      | 900 | is not |
      | 100000 | input: is nested too deeply |
