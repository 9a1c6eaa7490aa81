Feature: The platform's settings file is checked

  Scenario Outline: <case>
    When the platform's settings have "<change>"
    Then they are refused with "<message>"

    Examples:
      | case | change | message |
      | no file | missing file | boot.toml: |
      | not TOML | = | boot.toml: |
      | no store | [platform]\n | field 'platform.address': is missing |
      | a bad address | [platform]\naddress = "here" | field 'platform.address': 'here' is not IP:PORT |
      | a bad port | [platform]\naddress = "1.2.3.4:0" | field 'platform.address': '1.2.3.4:0' is not IP:PORT |
      | a negative bound | [bounds]\nrevoke-ms = -1\nstrict-revocation = true | field 'bounds.revoke-ms': -1 is negative |
      | a bound that is text | [bounds]\ngrace-s = "8" | field 'bounds.grace-s': '8' is not a number |
      | an infinite bound | [bounds]\nexposure-slack = inf | field 'bounds.exposure-slack': inf is not finite |
      | a bound that is no number | [bounds]\nexposure-share = nan | field 'bounds.exposure-share': nan is not finite |
      | a share that is a flag | [bounds]\nexposure-share = true | field 'bounds.exposure-share': True is not a number |
      | a negative time for the roll-back | [bounds]\nrollback-ms = -5 | field 'bounds.rollback-ms': -5 is negative |
      | no name | node-name = "" | field 'node-name': '' is not a string |

  Scenario: Unknown fields are ignored, bounds become options
    When the platform's settings have "[bounds]\nstrict-revocation = true\nrevoke-ms = 5000\ngrace-s = 8\nnew = 1"
    Then the proof that a key is valid may be 4400 ms old
    And the process has 7400 ms to shut down
    And it accepts requests for the first 2800 ms of that time

  # Guards against a gateway that doesn't start where the platform leaves the
  # bounds on roll-outs out, or that takes other ones.
  Scenario Outline: Bounds on roll-outs: <change>
    When the platform's settings have "<change>"
    Then a bad version may get <share> of all requests and <slack> more, for <ms> ms

    Examples:
      | change | share | slack | ms |
      | [bounds]\ngrace-s = 8 | 0.1 | 50 | 5000 |
      | [bounds]\nexposure-share = 0.25 | 0.25 | 50 | 5000 |
      | [bounds]\nexposure-slack = 7 | 0.1 | 7 | 5000 |
      | [bounds]\nrollback-ms = 1500 | 0.1 | 50 | 1500 |

  Scenario Outline: The program rejects invalid arguments and missing settings: <words>
    When the platform's program is started with "<words>"
    Then it exits with status 2 and prints "<message>"

    Examples:
      | words | message |
      | nobody | invalid choice: 'nobody' |
      | entry --metrics-port x | invalid int value: 'x' |
      | entry | is not set |
