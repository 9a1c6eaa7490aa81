Feature: Invalid settings are refused with file, key and reason

  Scenario Outline: An invalid settings file
    Given valid <kind> settings
    When the setting <key> is <value>
    Then the settings are refused with "<message>"

    Examples:
      | kind | key | value | message |
      | entry | instnce | 1 | f.json: key 'instnce': unknown key; did you mean 'instance'? |
      | entry | instance | "" | f.json: key 'instance': length 0 is below 1 |
      | entry | link_listen.address | "localhost" | f.json: key 'link_listen.address': 'localhost' is not an IP address |
      | entry | link_listen.port | 70000 | f.json: key 'link_listen.port': value 70000 is above 65535 |
      | entry | caller_listen.address | "::g" | f.json: key 'caller_listen.address': '::g' is not an IP address |
      | entry | log.level | "loud" | f.json: key 'log.level': 'loud' is not one of 'debug', 'info', 'warning', 'error' |
      | entry | platform | {"kind": "http"} | f.json: key 'platform.url': '' is not a URL with an IP address |
      | entry | platform | {"url": "http://127.0.0.1"} | f.json: key 'platform.url': is only for a platform of kind 'http' |
      | entry | limits.body_bytes | 5 | f.json: key 'limits.body_bytes': value 5 is below 1024 |
      | entry | drain_limit_ms | 0 | f.json: key 'drain_limit_ms': value 0 is below 1 |
      | entry | operator_tokens | [{"name": "a", "token_hash": "x", "role": "viewer"}] | f.json: key 'operator_tokens[0].token_hash': is not 64 lower-case hexadecimal digits |
      | entry | operator_tokens | [{"name": "a", "token_hash": "x", "role": "root"}] | f.json: key 'operator_tokens[0].role': 'root' is not one of 'viewer', 'publisher', 'operator' |
      | entry | tls | {"key_file": "k"} | f.json: key 'tls.certificate_file': is missing |
      | entry | peers | [{"instance": "a", "role": "agent", "address": "127.0.0.1", "port": 1, "availability_zone": "z"}] | f.json: key 'peers[0].pool': is missing; an agent has a pool |
      | agent | pool | null | f.json: key 'pool': None is not a string |
      | agent | upstream.url | "http://engine:80" | f.json: key 'upstream.url': 'http://engine:80' is not a URL with an IP address |
      | agent | upstream.url | "ftp://127.0.0.1" | f.json: key 'upstream.url': 'ftp://127.0.0.1' starts with neither http:// nor https:// |
      | agent | upstream.kind | "modell" | f.json: key 'upstream.kind': 'modell' is not one of 'model', 'plain' |

  Scenario Outline: A valid settings file
    Given valid <kind> settings
    Then the settings load with <count> characters of instance

    Examples:
      | kind | count |
      | entry | 7 |
      | agent | 7 |
