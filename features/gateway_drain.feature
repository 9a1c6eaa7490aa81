Feature: A planned stop of a gateway

  # Guards against a process that ends with answers in its own buffers.
  Scenario Outline: A gateway ends once its callers have all of their answers: <what>
    Given a gateway process on a simulated clock
    When a caller gets an answer of which <what>
    And the process gets SIGTERM
    And 4000 ms pass for it
    Then it has ended: <early>
    When the caller has read all that it reads
    And 4000 ms pass for it
    Then it has ended: yes

    Examples:
      | what | early |
      | all is sent | yes |
      | a part is not sent yet | no |
      | a part is never sent | no |

  Scenario: A caller who reads nothing doesn't keep a gateway from ending in time
    Given a gateway process on a simulated clock
    When a caller gets an answer of which a part is never sent
    And the process gets SIGTERM
    And 6800 ms pass for it
    Then it has ended: no
    When 700 ms pass for it
    Then it has ended: yes

  Scenario: A request that still runs at the end of a planned stop is answered before
    Given a gateway process on a simulated clock
    When a caller's request is sent and not answered
    And the process gets SIGTERM
    And 7500 ms pass for it
    Then it has ended: yes
    And the caller was told 504

  # Guards against an error in one answer that keeps a stop from ending, and
  # other callers from an answer.
  Scenario: An error in the end of one request doesn't keep others from their answers
    Given a gateway process on a simulated clock
    And the end of request "a" fails by an error
    When callers' requests "a" and "b" are sent and not answered
    And the process has no time left
    Then the caller was told 504
