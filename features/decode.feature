Feature: Decoding JSON into data classes

  Scenario Outline: An invalid value is reported with its location
    When the JSON <json> is decoded as a <kind>
    Then the error is "<message>"

    Examples:
      | kind | json | message |
      | Tier | {"name": "gold", "rank": "0"} | here: key 'rank': '0' is not a whole number |
      | Tier | {"name": "gold"} | here: key 'rank': is missing |
      | Tier | {"name": "", "rank": 0} | here: key 'name': length 0 is below 1 |
      | Tier | {"name": "gold", "rank": 100} | here: key 'rank': value 100 is above 99 |
      | Tier | {"name": "gold", "rnk": 1} | here: key 'rnk': unknown key; did you mean 'rank'? |
      | Tier | ["gold"] | here: ['gold'] is not an object |
      | Service | {"name": "a", "kind": "modle", "pools": ["p"], "tier": "t"} | here: key 'kind': 'modle' is not one of 'model', 'plain' |
      | Service | {"name": "a", "kind": "plain", "pools": ["p"], "tier": "t", "calls": [{"path": 3}]} | here: key 'calls[0].path': 3 is not a string |

  Scenario: A valid value is decoded into a frozen object
    When the JSON {"name": "gold", "rank": 0} is decoded as a Tier
    Then the decoded timeout_ms is 60000
