Feature: Tests start programs on ports that no other process holds

  # Guards against an entry that does not become ready in 30 s, as another
  # process has its port for datagrams.
  Scenario Outline: A port that is held as <kind> is not given to a program
    When each 53rd port is held as <kind>, and 200 free ones are found
    Then none of them is held

    Examples:
      | kind |
      | TCP |
      | UDP |

  Scenario: An entry that has ended is reported at once with its last words
    Given an entry whose port for datagrams is held
    When it is waited for
    Then the report names that port
