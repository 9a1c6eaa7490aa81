Feature: Answers of the platform's store

  A write counts as acknowledged, and a read as current, only with a whole
  answer.

  # Guards against an unframed answer that breaks off and counts as a success.
  Scenario Outline: A 200 whose body is <body>, framed by <framing>
    Given a client of the platform's store
    When a write is answered with 200, framed by <framing>, and the body "<body>"
    Then the write <result>

    Examples:
      | framing | body | result |
      | close | {"ver": 5} | succeeds |
      | length | {"ver": 5} | succeeds |
      | close | {"ver": | fails |
      | close | | fails |
      | length | | fails |
