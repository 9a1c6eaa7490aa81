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
      | no name | node-name = "" | field 'node-name': '' is not a string |

  Scenario: Unknown fields are ignored, bounds become options
    When the platform's settings have "[bounds]\nstrict-revocation = true\nrevoke-ms = 5000\ngrace-s = 8\nnew = 1"
    Then the proof that a key is valid may be 4400 ms old
    And the process has 7400 ms to shut down
    And it accepts requests for the first 2800 ms of that time

  Scenario Outline: The program rejects invalid arguments and missing settings: <words>
    When the platform's program is started with "<words>"
    Then it exits with status 2 and prints "<message>"

    Examples:
      | words | message |
      | nobody | invalid choice: 'nobody' |
      | entry --metrics-port x | invalid int value: 'x' |
      | entry | is not set |
