Feature: Callers' requests are checked before they wait

  # Guards against a request that no upstream can be sent.
  Scenario Outline: A plain call whose <part> is <value>
    When a plain call has the <part> "<value>"
    Then the call is <result>

    Examples:
      | part | value | result |
      | path | /x?q=%C3%A9 | accepted |
      | path | /x\x80 | refused with 400: path '/x\x80' must have visible ASCII characters only |
      | path | /x y | refused with 400: path '/x y' must have visible ASCII characters only |
      | method | PATCH | accepted |
      | method | PO(ST | refused with 400: method 'PO(ST' is not an HTTP token |
      | accept | text/plain; q=0.5 | accepted |
      | accept | a\x00b | refused with 400: header 'accept' has control characters |
