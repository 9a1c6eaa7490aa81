Feature: What another writer left doesn't stop a reader

  Rows, reports and messages may hold anything. One that can't be used names
  nothing to use, and all others hold.

  # Guards against a list of upstreams that is never read again, or that stops
  # messages to agents and peers, for one row in it.
  Scenario Outline: An odd row of an upstream is left out: <what>
    Given a gateway that follows a store with configuration 5
    And upstreams "a,b" that write their rows each second
    When a row of an upstream is left with <field> <what>
    And upstream "c" starts
    And 1 s pass at the store
    Then the gateway uses "a,b,c" and lists no other
    And no internal error was logged

    Examples:
      | field | what |
      | content | nested 100000 deep |
      | content | that is a list |
      | content | that isn't UTF-8 |
      | slots | of 400 digits |
      | slots | of 5000 digits |
      | slots | 2147483648 |
      | slots | 1e400 |
      | slots | 2.5 |
      | slots | missing |
      | born | of 400 digits |
      | born | 9223372036854775808 |
      | born | 1.5 |
      | address | "127.0.0.1:65536" |
      | address | "127.0.0.1:0" |
      | address | "127.0.0.1:²" |
      | address | "127.0.0.1:-9" |
      | address | with a port of 5000 digits |
      | address | "localhost:9" |
      | address | "999.0.0.1:9" |
      | version | 7 |
      | version | missing |
      | zone | missing |
      | key | "\ud800" |
      | key | "x\r\ny: z" |

  # Guards against a list of upstreams, a configuration or a table of gateways
  # that is not read to its end for a field of a JSON type that nobody expected.
  Scenario Outline: A row whose <field> is of any JSON type stops nothing: <table>
    Given a gateway that follows a store with configuration 5
    And upstreams "a,b" that write their rows each second
    When rows of "<table>" are left with a <field> of each JSON type
    And upstream "c" starts
    And configuration 6 is written
    And the gateway reads all tables
    Then the gateway has configuration 6 and uses "a,b,c" as before
    And no internal error was logged
    And each of these rows of "<table>" is read or named in the log

    Examples:
      | table | field |
      | servers | service |
      | servers | address |
      | servers | zone |
      | servers | version |
      | servers | slots |
      | servers | state |
      | servers | sequence |
      | servers | cold-remaining-ms |
      | servers | born |
      | gateways | renewed_ms |
      | gateways | host |
      | gateways | used |
      | gateways | used.team-a |
      | gateways | blames |
      | gateways | blames.0.cause |
      | gateways | blames.0.crashes |
      | gateways | blames.0.crashes.0.id |
      | gateways | blames.0.crashes.0.age_ms |
      | gateways | blames.0.trials |
      | gateways | blames.0.trial_age_ms |
      | gateways | versions |
      | gateways | versions.model |
      | gateways | versions.model.v1 |
      | gateways | new_versions |
      | gateways | new_versions.0.service |
      | gateways | new_versions.0.version |
      | streams | saved_ms |
      | streams | streams |
      | streams | streams.model |
      | streams | streams.model.v1 |
      | streams | streams.model.v1.0 |
      | op | version |
      | op | routes |
      | op | routes.0.name |
      | op | routes.0.host |
      | op | routes.0.prefix |
      | op | routes.0.kind |
      | op | routes.0.service |
      | op | routes.1.split |
      | op | routes.1.split.0.service |
      | op | routes.1.split.0.weight |
      | op | routes.0.timeout-ms |
      | op | routes.0.target-latency-ms |
      | op | routes.0.gap-aim-ms |
      | op | routes.0.priority |
      | op | routes.0.max-attempts |
      | op | routes.0.public |
      | op | routes.0.resumable |
      | op | services |
      | op | services.0.name |
      | op | services.0.max-connections |
      | op | services.0.engine |
      | op | services.0.engine.kv-capacity-tokens |
      | op | limits |
      | op | limits.max-header-bytes |
      | op | limits.max-body-bytes |
      | op | limits.header-timeout-ms |
      | op | limits.idle-timeout-ms |
      | op | tenants |
      | op | tenants.0.name |
      | op | tenants.0.api-keys |
      | op | tenants.0.api-keys.0 |
      | op | tenants.0.priority |
      | op | tenants.0.rate-per-s |
      | op | tenants.0.burst |
      | op | tenants.0.plain-tokens |
      | op | tenants.0.unit |

  # Guards against announcements that reach no peer behind an odd one.
  Scenario Outline: An odd row of a gateway is left out: <field> <what>
    Given a gateway that follows a store with configuration 5
    And upstreams "a,b" that write their rows each second
    When a row of a gateway is left with <field> <what>
    And the gateway reads the rows of gateways
    Then the gateway uses "a,b" and lists no other
    And it has no peers
    And no internal error was logged

    Examples:
      | field | what |
      | host | "nowhere" |
      | host | "127.0.0.1:9" |
      | host | "\ud800" |
      | renewed_ms | of 400 digits |
      | used | {"team": [1e400]} |
      | versions | {"model": {"v1": -1}} |
      | versions | {"model": [1]} |

  # Guards against a call that never ends, after which its loop stands still.
  Scenario Outline: A call ends whatever it is answered: <what>
    Given a call of the platform's client
    When it is answered with <what>
    Then it fails with an error of the store

    Examples:
      | what |
      | nested 100000 deep |
      | a number of 5000 digits |
      | that is a list |

  Scenario Outline: An engine's report with odd numbers is a failed report: <field> <what>
    When an engine reports <field> <what>
    Then its report can't be used

    Examples:
      | field | what |
      | running | of 400 digits |
      | running | -1 |
      | running | true |
      | waiting | of 400 digits |
      | waiting | 1e400 |
      | born | of 400 digits |
      | born | -1 |

  Scenario Outline: An engine's report whose <field> is of any JSON type fails or is read
    When an engine reports a <field> of each JSON type
    Then each report is read or refused by name

    Examples:
      | field |
      | running |
      | waiting |
      | born |

  Scenario Outline: An answer of the store whose <field> is of any JSON type fails or is read
    When the store answers with a <field> of each JSON type
    Then each answer is read or refused by name

    Examples:
      | field |
      | rows |
      | rows.0 |
      | rows.0.key |
      | rows.0.ver |
      | rows.0.removed |
      | ver |
      | now-ms |
      | has-more |

  Scenario Outline: Rows as the store returns them, with odd numbers: <field> <what>
    When the store answers with rows whose <field> is <what>
    Then the rows can't be used

    Examples:
      | field | what |
      | ver | 1e400 |
      | now-ms | 1e400 |

  Scenario Outline: The number of a timeline that is <what> is not used
    When an answer of the store names the timeline <what>
    Then no timeline is known

    Examples:
      | what |
      | of 5000 digits |
      | of 400 digits |
      | -1 |

  Scenario Outline: A caller that states <what> tokens is answered
    Given a gateway with two upstreams of each service
    When a caller states <what> tokens for "query"
    And the upstream that runs it answers successfully
    Then the caller receives status <status>

    Examples:
      | what | status |
      | of 400 digits | 200 |
      | of 5000 digits | 200 |
      | -1 | 400 |

  Scenario Outline: A peer that announces <what> doesn't change this gateway's share
    Given a gateway with two upstreams of each service
    When a peer announces <what>
    Then the share of its allowance is a part of it
    And no upstream has a limit

    Examples:
      | what |
      | a demand of -1000 |
      | committed tokens of -1000000 |
      | a limit of NaN |
      | a limit of -1 |
      | a limit of inf |

  # Guards against announcements that can't be encoded any more.
  Scenario Outline: A peer that answers with <field> <value> silences nobody
    Given a gateway that has not reached the store yet
    When a peer answers that its <field> is <value>
    Then this gateway still announces itself to its peer

    Examples:
      | field | value |
      | asked_ms | -1 |
      | list_age_ms | 9223372036854775807 |
      | list_age_ms | -9223372036854775808 |
      | version_age_ms | 9223372036854775807 |
      | version_age_ms | -9223372036854775808 |
      | version | 9223372036854775807 |
      | list_digest | -9223372036854775808 |

  Scenario Outline: A row of the product's own store that is nested too deeply is refused: <reader>
    When a row that is nested 100000 deep is read as <reader>
    Then it is refused as malformed

    Examples:
      | reader |
      | a claim |
      | a head |
      | a share |
      | a lease |
      | a bucket |
      | a snapshot |
      | a delta |
      | a line of a trace |
      | a line of a log |
      | a line of a ledger |
