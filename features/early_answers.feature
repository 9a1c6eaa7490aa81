Feature: Answers that begin before the request is written

  An upstream in trouble may answer a long upload at once, send a part of its
  body and reset the connection, or send a status that is none.

  Background:
    Given a stand-in Lakeshore platform with a configuration
    And an entry on it that is ready

  # Guards against a part of a body that reaches its caller as a whole answer.
  Scenario Outline: A reset early answer isn't complete: <route>, <framing>, it <end>, on <channel> connection
    Given an upstream that answers uploads early, with <framing>, and <end>
    When a caller uploads to /<route>/x on <channel> connection
    Then the caller gets no success that looks complete

    Examples:
      | route | framing | end | channel |
      | post | no length | resets | a new |
      | post | no length | resets after 60 ms | a new |
      | post | no length | resets after 400 ms | a kept |
      | post | HTTP/1.0 | resets after 60 ms | a new |
      | post | a length | resets after 60 ms | a kept |
      | post | chunks | resets after 60 ms | a new |
      | post | no length | closes for writing | a new |
      | post | no length | closes for writing after 60 ms | a new |
      | once | no length | resets after 60 ms | a new |
      | once | no length | closes for writing after 60 ms | a kept |

  # Guards against a whole early answer that is thrown away.
  Scenario: A whole early answer reaches its caller
    Given an upstream that answers uploads early, with no length, and answers whole
    When a caller uploads to /post/x on a new connection
    Then the caller gets status 200

  # Guards against a status that HTTP doesn't know, passed on as an answer.
  Scenario Outline: A status that is none isn't an answer: <status>
    Given an upstream whose status line says <status>
    When a caller uploads to /post/x on a new connection
    Then the caller gets status 502

    Examples:
      | status |
      | 000 Trouble |
      | 099 Trouble |
      | 1000 Trouble |
      | 600 Trouble |
      | 999 Trouble |
