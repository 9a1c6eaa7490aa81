Feature: The adapters of the platform, in memory and over HTTP

  # The adapter over HTTP and the one in memory must return the same results.
  # A script is "call arguments = result; ..."; it runs on both adapters with
  # a simulated clock.
  Scenario Outline: Both adapters return the stated results
    When the script "<script>" runs on each adapter, each result is as stated

    Examples: rows change by compare-and-set
      | script |
      | read k = none; write k a 0 = swapped 1; read k = a 1; write k b 0 = conflict a 1; write k b 1 = swapped 2; read k = b 2 |
      | write k a 7 = conflict none; delete k 1 = conflict none; read k = none |
      | write k a 0 = swapped 1; delete k 2 = conflict a 1; delete k 1 = swapped 1; read k = none; write k a 1 = conflict none; write k a 0 = swapped 2 |
      | write k a 0 500 = swapped 1; wait 499; read k = a 1; wait 1; read k = none; write k b 1 = conflict none; write k b 0 = swapped 2 |
      | write p/2 b 0 = swapped 1; write p/1 a 0 = swapped 2; write q%2F c 0 = swapped 3; list p = p/1 p/2; list - = p/1 p/2 q%2F; read q%2F = c 3; read q/ = none |
      | write k long 0 = invalid; read k = none |

    Examples: objects, instances and weights
      | script |
      | get o = none; put o x = none; get o = x; put o x = none; put o y = invalid; get o = x |
      | announce e1 1000 = none; announce a1 2000 = none; instances = a1 e1; wait 1000; instances = a1 |
      | announce e1 900 = none; wait 800; announce e1 900 = none; wait 800; instances = e1; wait 100; instances = - |
      | announce e1 900 = none; announce e1 900 leaving = none; instances = e1! |
      | weights w = none; weights w = none; weights w = limited; wait 500; weights w = none |

    Examples: outages, delays and lost answers
      | script |
      | faults {"outage":"refuse"}; write k a 0 = unavailable; read k = unavailable; faults {}; read k = none |
      | faults {"outage":"refuse","services":["objects"]}; put o x = unavailable; get o = unavailable; write k a 0 = swapped 1; instances = - |
      | faults {"lose_answers":1,"services":["tables"]}; put o x = none; write k a 0 = lost; read k = a 1 |
      | faults {"outage":"hang"}; write k a 0 = lost; read k = unavailable; faults {}; read k = none |
      | faults {"lose_answers":1}; write k a 0 = lost; read k = a 1; write k b 1 = swapped 2 |
      | faults {"lose_answers":1}; put o x = lost; get o = x; weights w = none |
      | faults {"delay_ms":3000}; write k a 0 = lost; faults {}; read k = none; wait 1000; read k = a 1 |
      | faults {"delay_ms":3000}; write k a 0 = lost; faults {}; write k b 0 = swapped 1; wait 1000; read k = b 1 |
      | faults {"delay_ms":1000}; write k a 0 = swapped 1; read k = a 1 |
      | announce e1 9000 = none; faults {"list_lag_ms":2000}; instances = -; wait 2000; instances = e1; announce e1 9000 leaving = none; instances = e1; wait 2000; instances = e1! |
      | announce e1 900 = none; faults {"list_lag_ms":2000}; wait 2500; instances = e1; wait 400; instances = - |

  Scenario Outline: Calls above the platform's rate limit are refused without effect
    When <reads> reads and <writes> writes are made on a platform at once
    Then <refused> of them are refused by the rate limit

    Examples:
      | reads | writes | refused |
      | 2000 | 300 | 0 |
      | 2001 | 300 | 1 |
      | 2000 | 310 | 10 |

  Scenario: Both adapters agree with a plain dictionary on random calls
    Then after random calls with lost answers and outages both adapters hold the same rows as a plain dictionary

  Scenario Outline: How a call fails when its connection fails
    Then a <call> whose connection fails with <reason> ends as <outcome>

    Examples:
      | call | reason | outcome |
      | write | ConnectionRefusedError | StoreUnavailable |
      | write | TimeoutError | StoreUnavailable |
      | write | ConnectionLost | AnswerLost |
      | write | 500 | AnswerLost |
      | write | 404 | InvalidCall |
      | write | 401 | InvalidCall |
      | read | ConnectionRefusedError | StoreUnavailable |
      | read | ConnectionLost | StoreUnavailable |
      | read | 500 | StoreUnavailable |

  Scenario Outline: The timeout in the settings applies to slow calls
    Then with a timeout of <timeout> ms and answers after <delay> ms, guarded calls end as <written> and <found>

    Examples:
      | timeout | delay | written | found |
      | 2000 | 1500 | swapped 1 | a 1 |
      | 2000 | 3000 | lost | unavailable |
      | 5000 | 3000 | swapped 1 | a 1 |
      | 5000 | 6000 | lost | unavailable |

  # Guards against a row that was cut short and counts as whole.
  Scenario Outline: A <call> whose answer <how>
    Then a <call> whose answer <how> ends as <outcome>

    Examples:
      | call | how | outcome |
      | read | has a length | a value |
      | read | has a length and is cut | StoreUnavailable |
      | read | ends with its connection | StoreUnavailable |
      | write | has a length | a value |
      | write | ends with its connection | AnswerLost |
