Feature: Operator commands and the operators' HTTP API

  Scenario: The commands of the operators' page print the documented output
    Given an operator API over an empty store
    When the commands of docs/OPERATORS.md run in examples/lakeshore
    Then each prints the output on the page

  Scenario Outline: Requests are authorised by the role of the token
    Given an operator API over an empty store
    When an operator sends <method> <path> with the token <token>
    Then the API answers <status> with the reason "<reason>"

    Examples:
      | method | path | token | status | reason |
      | GET | head | none | 401 | token_unknown |
      | GET | head | example-wrong | 401 | token_unknown |
      | GET | head | example-viewer | 200 | |
      | GET | snapshot | example-viewer | 200 | |
      | GET | history | example-viewer | 200 | |
      | GET | status | example-viewer | 200 | |
      | GET | explain/x | example-viewer | 404 | not_found |
      | POST | publish | example-viewer | 403 | role_too_low |
      | POST | publish | none | 401 | token_unknown |
      | POST | publish | example-publisher | 200 | |
      | POST | publish | example-operator | 200 | |
      | POST | drain/entry-duluth-1 | example-publisher | 403 | role_too_low |
      | POST | drain/entry-duluth-1 | example-operator | 200 | |
      | POST | drain/entry-nowhere-1 | example-operator | 404 | not_found |
      | GET | history?count=0 | example-viewer | 400 | query_wrong |
      | GET | history?count=201 | example-viewer | 400 | query_wrong |
      | GET | history?before=x | example-viewer | 400 | query_wrong |
      | GET | snapshot?generation=7 | example-viewer | 404 | not_found |
      | GET | publish | example-publisher | 405 | method_wrong |
      | GET | nowhere | example-viewer | 404 | not_found |

  Scenario Outline: An invalid body is refused with the reason
    Given an operator API over an empty store
    When a publisher sends the body <body>
    Then the API answers <status> and says "<message>"

    Examples:
      | body | status | message |
      | { | 400 | body: is not JSON |
      | [] | 400 | body: [] is not an object |
      | {"objects": {}, "base_generation": 0, "reason": "r"} | 400 | body: key 'publish_id': is missing |
      | {"objects": {}, "base_generation": -1, "reason": "r", "publish_id": "p"} | 400 | body: key 'base_generation': value -1 is below 0 |
      | {"objects": {}, "base_generation": 0, "reason": "", "publish_id": "p"} | 400 | body: key 'reason': length 0 is below 1 |
      | {"objects": {"tiers": [{"name": "a"}]}, "base_generation": 0, "reason": "r", "publish_id": "p"} | 422 | objects: tier 'a': key 'rank': is missing |
      | {"objects": {"tiers": [{"name": "a b", "rank": 0}]}, "base_generation": 0, "reason": "r", "publish_id": "p"} | 422 | may contain only letters |

  Scenario Outline: The exit code of a command reflects the store's outcome
    Given an operator API over an empty store
    And the store answers every <call> with <outcome>
    When the command "godwitloft revise tier/gold --set timeout_ms=7 --reason r" runs over tier gold
    Then it ends with <code> and says "<message>"
    And with the store available again, a retry with the publish id results in generation <generation>

    Examples:
      | call | outcome | code | message | generation |
      | read_row | ok | 0 | generation 2 was accepted | 2 |
      | read_row | down | 4 | unavailable | 2 |
      | write_object | down | 4 | unavailable | 2 |
      | write_row | down | 4 | unavailable | 2 |
      | write_row | lost | 4 | unavailable | 2 |
      | write_head | lost | 0 | generation 2 was accepted | 2 |
      | write_head | dropped | 4 | --publish-id publish-1 | 2 |
      | write_head | late | 4 | --publish-id publish-1 | 2 |

  Scenario Outline: An unreachable entry is skipped
    Given an operator API over an empty store
    And entries at <addresses>, where only 127.0.0.1:21012 answers
    When the command "godwitloft history --json" runs
    Then it ends with <code> and says "<message>"

    Examples:
      | addresses | code | message |
      | 127.0.0.1:21012 | 0 | [] |
      | 127.0.0.1:21002 127.0.0.1:21012 | 0 | [] |
      | 127.0.0.1:21002 127.0.0.1:21003 | 4 | http://127.0.0.1:21003: Connection was refused |

  Scenario Outline: A failed publish hints at a retry only if it may have been applied
    Given an operator API over an empty store
    And entries at <addresses>, where only 127.0.0.1:21012 answers
    And the store answers every <call> with <outcome>
    When the command "godwitloft publish examples/kuldiga/objects --reason r" runs
    Then it ends with 4 and <hints> the publish id

    Examples:
      | addresses | call | outcome | hints |
      | 127.0.0.1:21002 | read_row | ok | does not name |
      | 127.0.0.1:21012 | write_object | down | does not name |
      | 127.0.0.1:21012 | write_head | dropped | names |
      | 127.0.0.1:21012 127.0.0.1:21002 | write_head | dropped | names |
      | 127.0.0.1:21012 | write_head | held | names |

  Scenario: A command prints what it waits for, and times out
    Given an operator API over an empty store
    And the store answers every read_row with held
    When the command "godwitloft history --timeout 8" runs
    Then it ends with 4 and says "no answer in 8 s"
    And it says "waiting for http://127.0.0.1:21002: 1 s"
    And it says "waiting for http://127.0.0.1:21002: 6 s"

  Scenario Outline: Every command prints JSON with --json
    Given an operator API over an empty store
    And examples/lakeshore/objects is published
    When the command "godwitloft <command> --json" runs
    Then its output is JSON with the code <code>

    Examples:
      | command | code |
      | check examples/lakeshore/objects | 0 |
      | check examples/lakeshore/settings | 2 |
      | publish examples/kuldiga/objects --base 1 --reason r | 0 |
      | publish examples/kuldiga/objects --base 1 --reason r --dry-run | 0 |
      | publish examples/kuldiga/objects --reason r | 3 |
      | revise team/brokers --set weight=9 --reason r | 0 |
      | revise team/brokers --set tiers.0=nothing --reason r | 1 |
      | diff examples/kuldiga/objects | 0 |
      | show | 0 |
      | show team/brokers | 0 |
      | show team/broker | 2 |
      | show --generation 9 | 1 |
      | history | 0 |
      | status | 1 |
      | explain entry-duluth-1.5f2c-17 | 0 |
      | drain entry-toledo-1 --reason r | 2 |
      | audit features/traces/burst.jsonl | 0 |
      | audit features/traces/burst.jsonl README.md | 1 |
      | audit features/traces/nothing.jsonl | 2 |
      | replay features/traces/burst.jsonl | 0 |
      | replay README.md | 2 |

  Scenario Outline: Body sizes and connections are limited
    Given an operator API over an empty store
    When <connections> connections are open and one sends a body of <size> bytes <style> with the token <token>
    Then the connection gets "<answer>"

    Examples:
      | connections | size | style | token | answer |
      | 1 | 4000 | announced | none | 401 Unauthorized |
      | 1 | 5000 | announced | example-viewer | 403 Forbidden |
      | 1 | 5000 | chunked | example-publisher | 400 Bad Request |
      | 1 | 20000 | announced | none | nothing |
      | 1 | 20000 | chunked | none | nothing |
      | 1 | 17000000 | announced | example-publisher | 413 Request Entity Too Large |
      | 1 | 17000000 | chunked | example-publisher | 413 Request Entity Too Large |
      | 256 | 4000 | announced | none | 401 Unauthorized |
      | 257 | 4000 | announced | none | no connection |

  Scenario Outline: A site limits the size of request headers
    Given a site that accepts 2048 bytes of headers
    When a request with a header of <size> bytes arrives
    Then the connection gets "<answer>"

    Examples:
      | size | answer |
      | 1500 | 404 Not Found |
      | 2040 | 400 Bad Request |
      | 30000 | nothing |
