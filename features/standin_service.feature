Feature: The stand-in plain service

  Tests read from this ledger whether a call took effect twice, so it must
  record every call, including those whose answer was lost.

  # A script is "time action ..."; a ledger line is "number request-id key
  # path took-effect status".
  Scenario Outline: Calls and their ledger
    Given a stand-in service that takes 20 ms per call
    When the stand-in service executes the script "<script>"
    Then the service's ledger is "<ledger>" and its callers got "<answers>"

    Examples:
      | script | ledger | answers |
      | 0 POST release/7 k1 a; 100 look | 1 k1 release/7 yes 200 | right |
      | 0 POST release/7 k1 a; 19 look | 1 k1 release/7 no 0 | nothing |
      | 0 GET holds?lot=7 - -; 100 look | 1 - holds?lot=7 yes 200 | right |
      | 0 POST release/7 k1 a; 1 POST release/7 k1 a; 100 look | 1 k1 release/7 yes 200; 2 k1 release/7 yes 200 | right right |
      | 0 control {"fail_calls":1,"fail_status":502}; 1 POST r k1 a; 2 POST r k2 b; 100 look | 1 k1 r no 502; 2 k2 r yes 200 | 502 right |
      | 0 control {"lose_answers":1}; 1 POST r k1 a; 2 POST r k2 b; 100 look | 1 k1 r yes 0; 2 k2 r yes 200 | nothing right |
      | 0 control {"stall_ms":500}; 1 POST r k1 a; 519 look | 1 k1 r no 0 | nothing |
      | 0 control {"stall_ms":500}; 1 POST r k1 a; 521 look | 1 k1 r yes 200 | right |
      | 0 control {"slow_factor":3}; 1 POST r k1 a; 60 look | 1 k1 r no 0 | nothing |
      | 0 control {"leaving":true}; 1 POST r k1 a; 60 look | - | 503 |
      | 0 POST r k1 a; 5 leave; 60 look | 1 k1 r yes 200 | nothing |
