Feature: Orders for roll-outs are checked, and their state is kept in rows

  # Guards against an order that moves traffic although a field of it is
  # wrong, and against an error that doesn't name row and field.
  Scenario Outline: An order with <field> <value>
    When an order for "desk" has <field> <value>
    Then it is refused as "row op/rollout/desk: field '<wrong>': <reason>"

    Examples: JSON types
      | field | value | wrong | reason |
      | service | missing | service | None is not a string |
      | service | 7 | service | 7 is not a string |
      | service | ["desk"] | service | ['desk'] is not a string |
      | service | "" | service | '' is not a string |
      | service | "de\u0000sk" | service | 'de\x00sk' can't be sent in a header |
      | service | "model" | service | 'model' differs from the row's key |
      | to | missing | to | None is not a string |
      | to | null | to | None is not a string |
      | to | 2 | to | 2 is not a string |
      | to | {} | to | {} is not a string |
      | to | "" | to | '' is not a string |
      | duration-s | missing | duration-s | None is not a number |
      | duration-s | "12" | duration-s | '12' is not a number |
      | duration-s | true | duration-s | True is not a number |
      | duration-s | [12] | duration-s | [12] is not a number |
      | duration-s | 0 | duration-s | 0 is not above 0 |
      | duration-s | -3 | duration-s | -3 is out of range |
      | duration-s | 1e400 | duration-s | inf is out of range |
      | duration-s | NaN | duration-s | nan is out of range |

    Examples: what the service has
      | field | value | wrong | reason |
      | service | unknown | service | 'desk' is not a service |
      | to | "v1" | to | all upstreams have version 'v1' already |

    Examples: the whole row
      | field | value | wrong | reason |
      | content | [] |  | [] is not an object |
      | content | "v2" |  | 'v2' is not an object |
      | content | { |  | is not JSON |
      | content | not base64 |  | is not JSON |
      | content | missing |  | has no value |

  Scenario Outline: An order whose duration is <duration> s
    When an order for "desk" has duration-s <duration>
    Then it is an order to "v2" within <ms> ms

    Examples:
      | duration | ms |
      | 12 | 12000 |
      | 0.5 | 500 |
      | 1e-9 | 1 |
      | 9007199254740991 | 4503599627370496 |

  # Guards against a step of one gateway that the next one can't go on from.
  Scenario Outline: A roll-out in the phase <phase> is read as it was written
    When a roll-out in the phase "<phase>" is written and read
    Then it is the same, and its status is "<state>"

    Examples:
      | phase | state |
      | judging | running |
      | moving | running |
      | completed | completed |
      | rolled_back | rolled_back |

  Scenario Outline: A saved roll-out with <field> <value>
    When a saved roll-out of "desk" has <field> <value>
    Then it is refused as "row rollouts/desk: field '<field>': <reason>"

    Examples:
      | field | value | reason |
      | order | missing | None is not a number |
      | order | 1.5 | 1.5 is not a whole number |
      | to | 2 | 2 is not a string |
      | from | "v1" | 'v1' is not a list |
      | from | [1] | [1] is not a list of strings |
      | phase | "done" | 'done' is not one of |
      | phase | ["moving"] | ['moving'] is not one of |
      | started_ms | null | None is not a number |
      | duration_ms | -1 | -1 is out of range |
      | reason | 5 | 5 is not a string |
      | bad | "3" | '3' is not a number |
      | decider | [] | [] is not a string |
