Feature: Calls with an idempotency key that may not be repeated

  Scenario Outline: The same key comes again
    Given a keyed fleet
    When caller 1 sends "<body>" to <entry> and <pause>
    And caller 2 sends "<again>" to <other> and it is finished
    Then the keyed callers were told <first> and <second>
    And the keyed call ran <runs> times

    Examples:
      | entry | body | pause          | other | again | first     | second     | runs |
      | e1    | b    | it is finished | e1    | b     | completed | the same   | 1    |
      | e1    | b    | it is finished | e2    | b     | completed | the same   | 1    |
      | e1    | b    | it is finished | e2    | c     | completed | key_reused | 1    |
      | e1    | b    | nothing        | e1    | b     | completed | the same   | 1    |
      | e1    | b    | nothing        | e1    | c     | completed | key_reused | 1    |
      | e1    | b    | nothing        | e2    | b     | completed | the same   | 1    |
      | e1    | b    | it runs        | e2    | b     | completed | the same   | 1    |
      | e1    | b    | it runs        | e1    | b     | completed | the same   | 1    |

  Scenario Outline: Something fails while the first caller waits
    Given a keyed fleet
    When caller 1 sends "b" to e1 and <point>
    And in the keyed fleet <fault>
    And caller 2 sends "b" to <other> and it is finished
    Then the keyed callers were told <first> and <second>
    And the keyed call ran <runs> times

    Examples:
      | point                    | fault                | other | first     | second      | runs |
      | nothing                  | e1 is killed         | e2    | nothing   | completed   | 1    |
      | its dispatch is under way | e1 is killed        | e2    | nothing   | completed   | 1    |
      | it runs                  | e1 is killed         | e2    | nothing   | key_unknown | 1    |
      | its dispatch is under way | both agents are killed | e2 | unknown   | key_unknown | 0    |
      | it runs                  | both agents are killed | e2  | unknown   | key_unknown | 1    |
      | it runs                  | caller 1 leaves      | e1    | nothing   | completed   | 1    |
      | it runs                  | caller 1 leaves      | e2    | nothing   | completed   | 1    |
      | its dispatch is under way | the agents' upstreams are stopped | e2 | completed | the same | 1 |

  Scenario Outline: The store fails
    Given a keyed fleet
    When the keyed store answers "<faults>" and then <rest>
    And caller 1 sends "b" to e1 and it is finished
    Then keyed caller 1 was told <told>
    And the keyed call ran <runs> times

    Examples:
      | faults            | rest | told              | runs |
      | ok lost           | ok   | completed         | 1    |
      | ok late           | ok   | completed         | 1    |
      | down ok down lost | ok   | completed         | 1    |
      | ok never          | ok   | completed         | 1    |
      | ok                | down | store_unavailable | 0    |
      |                   | down | store_unavailable | 0    |
      | ok ok             | down | completed         | 1    |
