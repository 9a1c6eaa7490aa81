Feature: Calls with an idempotency key that may not be repeated

  Guards against a second run of a call whose caller retries with the same key,
  at any entry, also when an entry, an agent or the store fails during the first
  attempt. The retry gets the recorded answer or learns that the outcome is
  unknown.

  Scenario Outline: A key is used twice
    Given a simulated fleet whose entries accept idempotency keys
    When caller 1 sends "<body>" to <entry> and <pause>
    And caller 2 sends "<again>" to <other> and it is finished
    Then the callers got <first> and <second>
    And the call ran <runs> times

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

  Scenario Outline: A fault occurs while the first caller waits
    Given a simulated fleet whose entries accept idempotency keys
    When caller 1 sends "b" to e1 and <point>
    And this fault occurs: <fault>
    And caller 2 sends "b" to <other> and it is finished
    Then the callers got <first> and <second>
    And the call ran <runs> times

    Examples:
      | point                     | fault                             | other | first     | second      | runs |
      | nothing                   | e1 is killed                      | e2    | nothing   | completed   | 1    |
      | its dispatch is under way | e1 is killed                      | e2    | nothing   | completed   | 1    |
      | it runs                   | e1 is killed                      | e2    | nothing   | key_unknown | 1    |
      | its dispatch is under way | both agents are killed            | e2    | unknown   | key_unknown | 0    |
      | it runs                   | both agents are killed            | e2    | unknown   | key_unknown | 1    |
      | it runs                   | caller 1 disconnects              | e1    | nothing   | completed   | 1    |
      | it runs                   | caller 1 disconnects              | e2    | nothing   | completed   | 1    |
      | its dispatch is under way | the agents' upstreams are stopped | e2    | completed | the same    | 1    |

  Scenario Outline: The store fails
    Given a simulated fleet whose entries accept idempotency keys
    When the claims store answers "<faults>" and then <rest>
    And caller 1 sends "b" to e1 and it is finished
    Then caller 1 got <outcome>
    And the call ran <runs> times

    Examples:
      | faults            | rest | outcome           | runs |
      | ok lost           | ok   | completed         | 1    |
      | ok late           | ok   | completed         | 1    |
      | down ok down lost | ok   | completed         | 1    |
      | ok never          | ok   | completed         | 1    |
      | ok                | down | store_unavailable | 0    |
      |                   | down | store_unavailable | 0    |
      | ok ok             | down | completed         | 1    |
