Feature: A row that could not be written is tried again

  # Guards against usage that stays unsaved after an outage of the store while
  # other calls are answered already, and against tries in quick succession.
  Scenario Outline: <unsaved> is unsaved, <passed> ms after a failed try, <heard>
    Given a row of which <unsaved> is unsaved, and a try that failed
    When <passed> ms pass after the try, and <heard>
    Then another try is <due>

    Examples:
      | unsaved | passed | heard | due |
      | much | 60 | no call is answered | not due |
      | much | 60 | a call before it was answered | not due |
      | much | 60 | a call after it was answered | due |
      | much | 60 | a peer's call after it was answered | due |
      | much | 120 | no call is answered | due |
      | little | 120 | no call is answered | not due |
      | little | 120 | a call after it was answered | not due |
      | little | 400 | no call is answered | due |

  Scenario: A row that was written has no failed try
    Given a row of which much is unsaved, and a try that failed
    When the row is written
    Then another try is due
