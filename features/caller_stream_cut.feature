Feature: A stream of an entry that can't be finished

  # Guards against a broken-off stream whose end its caller takes for whole.
  Scenario Outline: The caller of a stream that fails sees it: HTTP/<version>, after <received>
    Given a caller of HTTP/<version> to whom an entry streams "<received>"
    When the run of the stream fails
    Then the caller's connection is <end> without the end of the answer
    And the caller has received "<received>" and <more>

    Examples:
      | version | received | end | more |
      | 1.1 | data: a\n\n | closed | an error event |
      | 1.1 | data: a\n\ndata: b | closed | no more |
      | 1.1 | data: a\n | closed | no more |
      | 1.0 | data: a\n\n | closed | an error event |
      | 1.0 | data: a\n\ndata: b | reset | no more |
