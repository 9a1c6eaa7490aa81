Feature: A configuration is checked before it is sent

  # Guards against findings on what is right, which operators learn to ignore.
  Scenario Outline: Nothing is found in the standing example <name>
    Given the standing example <name>
    When it is checked
    Then nothing is found

    Examples:
      | name |
      | of the checks |
      | of the stand-in |

  # Guards against a faulty entry that is sent, or that hides the others.
  Scenario Outline: A faulty entry is named: <path> is <value>
    Given a sound configuration
    When <path> is set to <value>
    And it is checked
    Then the only finding is <finding>

    Examples: entries that can't be decoded
      | path | value | finding |
      | version | - | error: configuration: field 'version': None is not a number |
      | version | "7" | error: configuration: field 'version': '7' is not a number |
      | routes.0 | 5 | error: route 'routes[0]': 5 is not an object |
      | routes.0.kind | "stream" | error: route 'draft': field 'kind': 'stream' is not one of |
      | routes.0.name | - | error: route 'routes[0]': field 'name': None is not a string |
      | routes.0.timeout-ms | "9 s" | error: route 'draft': field 'timeout-ms': '9 s' is not a number |
      | routes.0.public | 1 | error: route 'draft': field 'public': 1 is not true or false |
      | routes.0.priority | -1 | error: route 'draft': field 'priority': -1 is out of range |
      | services.0.engine | 3 | error: service 'model': field 'engine': 3 is not an object |
      | tenants.0.api-keys | "key-a" | error: team 'a': field 'api-keys': 'key-a' is not a list |
      | tenants.0.unit | 4 | error: team 'a': field 'unit': 4 is not a string |
      | tenants.0.rate-per-s | true | error: team 'a': field 'rate-per-s': True is not a number |
      | limits.max-body-bytes | null | error: limits: field 'max-body-bytes': None is not a number |
      | limits | [] | error: limits: [] is not an object |
      | tenants | {} | error: configuration: field 'tenants': {} is not a list |

    Examples: fields that have no effect
      | path | value | finding |
      | routes.0.timout-ms | 5 | warning: route 'draft': field 'timout-ms': is not known and has no effect: did you mean 'timeout-ms'? |
      | tenants.0.keys | [] | warning: team 'a': field 'keys': is not known |
      | limits.idle-ms | 5 | warning: limits: field 'idle-ms': is not known |
      | routes.1.resumable | true | warning: route 'post': field 'resumable': has no effect |
      | routes.1.gap-aim-ms | 100 | warning: route 'post': field 'max_gap': has no effect |
      | tenants.0.rate-per-s | 0 | warning: team 'a': field 'burst': has no effect |
      | tenants.0.unit | "calls" | warning: team 'a': field 'default_tokens': has no effect |

    Examples: entries that can never match
      | path | value | finding |
      | routes.2 | a copy of draft | error: route 'draft': field 'prefix': never matches: route 'copy' has the same host and prefix |
      | routes.0.prefix | "/draft" | error: route 'draft': field 'prefix': '/draft' never matches |
      | routes.0.prefix | "/d?x=/" | error: route 'draft': field 'prefix': '/d?x=/' never matches |
      | routes.0.host | "a.example:80" | error: route 'draft': field 'host': 'a.example:80' never matches |
      | routes.0.host | "*.example" | error: route 'draft': field 'host': '*.example' is no host name |
      | routes.1.split | [{"service": "desk", "weight": 1}, {"service": "dsek", "weight": 1}] | error: route 'post': field 'service': service 'dsek' does not exist |
      | routes.1.split | [{"service": "desk", "weight": 1}, {"service": "model", "weight": 0}] | warning: route 'post': field 'split': service 'model' has weight 0 |
      | routes.1.split | [{"service": "desk", "weight": 1}, {"service": "desk", "weight": 2}] | warning: route 'post': field 'split': service 'desk' is named twice |
      | routes.1.name | "draft" | error: route 'draft': field 'name': is the name of 2 routes |
      | services.2 | {"name": "idle", "max-connections": 5} | warning: service 'idle': no route sends requests to it |
      | services.2 | {"name": "desk", "max-connections": 5} | error: service 'desk': field 'name': is the name of 2 services |
      | tenants.0.api-keys | [] | warning: team 'a': field 'keys': is empty |
      | tenants.0.api-keys | ["key-b"] | error: team 'a': field 'keys': a key never matches: it is also that of 'b' |
      | tenants.0.api-keys | ["key a "] | error: team 'a': field 'keys': a key can't be sent in a header |

    Examples: limits that contradict each other
      | path | value | finding |
      | routes.1.timeout-ms | 100 | warning: route 'post': field 'timeout': 100 ms is below the target latency of 150 ms |
      | routes.0.gap-aim-ms | 9000 | warning: route 'draft': field 'max_gap': 9000 ms can't be reached |
      | routes.0.max-attempts | 1 | warning: route 'draft': field 'resumable': only callers can resume streams |
      | routes.0.max-attempts | 0 | error: route 'draft': field 'max_attempts': is 0 |
      | routes.0.max-attempts | 3 | warning: route 'draft': field 'max_attempts': 3 can't be used: its services have 2 upstreams |
      | services.0.max-connections | 3 | warning: service 'model': field 'max_connections': 3 is below the 4 slots |
      | services.0.max-connections | 0 | warning: service 'model': field 'max_connections': is 0 |
      | tenants.0.plain-tokens | 5000 | error: team 'a': field 'rate': a request that counts as 5000 never fits into the allowance of 900 |
      | tenants.0.burst | 3000 | warning: team 'a': field 'burst': 3000 tokens exceed the 2000 that all engines hold |
      | tenants.0.burst | 1950 | warning: configuration: field 'teams': the bursts of 2 teams add up to 2050 tokens |
      | limits.max-header-bytes | 100 | error: limits: field 'header_bytes': 100 is less than |
      | limits.idle-timeout-ms | 0 | error: limits: field 'idle_timeout_ms': is 0 |
      | limits.idle-timeout-ms | 1000 | warning: limits: field 'idle_timeout_ms': 1000 ms is below the 3000 ms |
      | limits.max-body-bytes | 0 | warning: limits: field 'body_bytes': is 0 |

  Scenario: A retry budget that a few failures use up contradicts the attempts
    Given a sound configuration
    And 9 upstreams of model
    When routes.0.max-attempts is set to 9
    And it is checked
    Then the only finding is 9 contradicts the retry budget of 0.2 for each request, which is used up when 2.5% of the requests fail

  Scenario: A service without an upstream can't answer
    Given a sound configuration
    And 0 upstreams of desk
    When it is checked
    Then the only finding is error: route 'post': field 'service': service 'desk' has no upstream

  # Guards against a check that is too slow to be run before each change.
  Scenario: A large configuration is checked at once
    Given a configuration with 1400 routes
    When it is checked
    Then nothing is found
    And the check took less than a second

  # Guards against a loss for callers that stands behind harmless changes.
  Scenario Outline: What callers lose comes first: <path> is <value>
    Given a sound configuration
    When version is set to 8
    And limits.max-body-bytes is set to 5000000
    And <path> is set to <value>
    Then it is compared, and the first difference is <difference>

    Examples:
      | path | value | difference |
      | routes.1 | - | callers lose: route 'post': is removed |
      | routes.0.prefix | "/new/" | callers lose: route 'draft': moves from a.example/draft/ to a.example/new/ |
      | routes.0.service | "desk" | callers lose: route 'draft': services model (100%) become desk (100%) |
      | routes.0.timeout-ms | 500 | callers lose: route 'draft': timeout 9,000 ms becomes 500 ms |
      | routes.0.resumable | false | callers lose: route 'draft': streams may no longer be resumed |
      | routes.0.priority | 3 | callers lose: route 'draft': priority 0 becomes 3 |
      | routes.0.public | true | changes: route 'draft': needs no key any more |
      | tenants.0 | - | callers lose: team 'a': is removed with 1 key |
      | tenants.0.api-keys | ["new"] | callers lose: team 'a': 1 of 1 key revoked |
      | tenants.0.rate-per-s | 50 | callers lose: team 'a': allowance per second 100 becomes 50 |
      | services.1 | - | callers lose: service 'desk': is removed, which served 'post' |
      | version | 6 | callers lose: configuration: version 6 isn't newer than 7 |
      | limits.max-body-bytes | 100 | callers lose: limits: maximum size of a body 4,194,304 bytes becomes 100 bytes |

  Scenario Outline: The exit code tells scripts what was found: <what>
    Given a sound configuration
    When <path> is set to <value>
    And the file is checked against the version before by the command<how>
    Then the command ends with <code> and prints "<text>"

    Examples:
      | what | path | value | how | code | text |
      | nothing | version | 8 | , as text | 0 | ok |
      | differences | version | 8 | , as text | 0 | 0 differences from version 7 in force |
      | findings | routes.0.max-attempts | 0 | , as text | 1 | 1 finding |
      | findings for scripts | routes.0.max-attempts | 0 | , as JSON | 1 | "severity": "error" |
      | an unreadable file | version | 8 | , unreadable | 2 | is not JSON |

  Scenario: With a store, the version in force and the upstreams are read
    Given a sound configuration
    When routes.1.timeout-ms is set to 800
    And the file is checked against a stand-in store
    Then the command ends with 0 and prints "timeout 900 ms becomes 800 ms"
