Feature: Named objects are parsed and checked as a whole

  Scenario Outline: Wrong input names the object and the field
    When objects are parsed from <json>
    Then the objects are refused with "<message>"

    Examples:
      | json | message |
      | {"tirs": []} | input: key 'tirs': unknown key; did you mean 'tiers'? |
      | [] | input: [] is not an object |
      | {"tiers": {}} | input: key 'tiers': {} is not a list |
      | {"tiers": [{"name": "gold", "rank": "0"}]} | input: tier 'gold': key 'rank': '0' is not a whole number |
      | {"tiers": [{"rank": 0}]} | input: tiers[0]: key 'name': is missing |
      | {"tiers": [], "tiers": []} | input: key 'tiers': stands twice in one object |
      | {"tiers": NaN} | input: NaN is no JSON |
      | {"tiers": [ | input: is not JSON: Expecting value: line 1 column 12 (char 11) |

  Scenario Outline: A mistake in a set is found
    Given the valid example objects
    When <object> gets <field> set to <value>
    Then the check reports "<problem>"

    Examples:
      | object | field | value | problem |
      | tier gold | name | "silver" | tier 'silver': field 'name': 'silver' names 2 tiers |
      | tier gold | rank | 1 | tier 'silver': field 'rank': 1 is also the rank of tier 'gold' |
      | tier gold | name | "go ld" | tier 'go ld': field 'name': 'go ld' may hold only letters, digits and . _ : / -, and begins with a letter or digit |
      | service chat | tier | "glod" | service 'chat': field 'tier': 'glod' is no known tier; did you mean 'gold'? |
      | service chat | pools | ["fsat"] | service 'chat': field 'pools': 'fsat' is no known pool; did you mean 'fast'? |
      | service chat | pools | ["desk"] | service 'chat': field 'pools': 'desk' is a pool of kind 'plain', the service is of kind 'model' |
      | service chat | pools | ["fast", "fast"] | service 'chat': field 'pools': 'fast' stands there twice |
      | service chat | calls | [{}] | service 'chat': field 'calls': 1 calls stand on a model; only plain services have calls |
      | service desk | calls | [{"method": "get"}] | service 'desk': field 'calls[0].method': 'get' is no known method; did you mean 'GET'? |
      | service desk | calls | [{"path": "a/*/b"}] | service 'desk': field 'calls[0].path': 'a/*/b' may hold * only at its end and 500 characters |
      | service desk | calls | [{"path": "a*"}, {"path": "ab", "method": "GET"}] | service 'desk': field 'calls[1]': 'GET ab' is never reached: calls[0] matches all of it |
      | team one | tiers | ["bronze"] | team 'one': field 'tiers': 'bronze' is no known tier |
      | team one | services | ["chta"] | team 'one': field 'services': 'chta' is no known service; did you mean 'chat'? |
      | team one | key_hashes | ["BB"] | team 'one': field 'key_hashes[0]': 'BB' is not 64 lower-case hexadecimal digits |
      | pool fast | wanted | {"model": "m", "role": "prefil"} | pool 'fast': field 'wanted.role': 'prefil' is none of serve, prefill, decode; did you mean 'prefill'? |
      | pool fast | wanted | {} | pool 'fast': field 'wanted.model': '' is empty; name the model |
      | pool desk | wanted | {"model": "m"} | pool 'desk': field 'wanted': 'm' stands on a pool of plain services, which take no orders |
      | pool desk | resumable | true | pool 'desk': field 'resumable': True stands on a pool of plain services, which have no streams |

  Scenario: The valid example has no mistakes
    Given the valid example objects
    Then the check reports nothing

  Scenario: Two teams may not share a key
    Given the valid example objects
    And another team with the key of team one
    Then the check reports "is also a key of team 'one'"

  Scenario Outline: Too many of a thing is reported
    Given the valid example objects
    When the example has <count> more <plural>
    Then the check reports "<plural> is above"

    Examples:
      | count | plural |
      | 32 | tiers |
      | 1000 | pools |

  Scenario: The canonical form doesn't depend on order and can be read back
    Given the valid example objects
    Then shuffled by seeds 1 to 20 its canonical hash stays the same
    And its canonical form decodes to the same canonical form
