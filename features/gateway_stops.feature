Feature: A planned stop of a gateway loses no answer and no request

  Background:
    Given a gateway process whose callers read slowly

  # Guards against answers that end at the drain's limit and stay in the
  # process's buffers.
  Scenario Outline: An answer that ends at the limit of a stop is sent: <route>, <state>
    When the process is stopped and a slow caller requests "<route>" 2600 ms later
    And its upstream is heard so: <state>
    And 4600 ms more pass
    Then the process has ended: no
    When the slow caller reads all
    And 50 ms more pass
    Then the process has ended: yes
    And the slow caller has <received>

    Examples:
      | route | state | received |
      | draft | all has come and its life is being checked | a whole answer of 3 events |
      | query | all has come and its life is being checked | a whole answer of 3 events |
      | post | all has come and its life is being checked | a whole answer of 3 events |
      | post | nothing has come | status 504 |
      | lookup | nothing has come | status 504 |

  # Guards against a request that is dropped as the process ends in the middle
  # of its arrival.
  Scenario Outline: A request that arrives in parts is answered: the rest of its <part> comes <later> ms after
    When a slow caller sends a request up to the middle of its <part>
    And the process is stopped
    And <later> ms more pass
    Then the process has ended: no
    When the slow caller sends the rest
    And the slow caller reads all
    And 50 ms more pass
    Then the slow caller has status 503
    And the process has ended: yes

    Examples:
      | part | later |
      | head | 3700 |
      | head | 6900 |
      | head | 7200 |
      | body | 3700 |
      | body | 7200 |

  Scenario Outline: A caller that never sends the rest of its <part> doesn't keep the process from ending
    When a slow caller sends a request up to the middle of its <part>
    And the process is stopped
    And 7500 ms more pass
    Then the process has ended: yes

    Examples:
      | part |
      | head |
      | body |

  # Guards against a request that waits in the kernel as its connection is
  # closed.
  Scenario: A connection on which a request has arrived isn't closed before it is read
    When a slow caller's request has arrived and isn't read yet
    And the process is stopped
    And 3700 ms more pass
    Then the slow caller's connection is open
    When it is read
    And the slow caller reads all
    Then the slow caller has status 503

  # Guards against requests that were read behind another one and get no answer.
  Scenario Outline: Requests that were sent one behind the other are all answered: the first <ms> ms after SIGTERM
    When a slow caller sends 3 requests of "lookup" at once
    And the process is stopped
    And <ms> ms more pass
    And the requests that were sent on are answered
    And the slow caller reads all
    And 7500 ms more pass
    Then the slow caller has 3 answers
    And the process has ended: yes

    Examples:
      | ms |
      | 100 |
      | 2700 |
      | 4000 |

  # Guards against further attempts that begin too late in a stop, and against
  # callers who wait for a refusal that is certain.
  Scenario Outline: A request that was refused as not run in a stop: <route> that takes 2000 ms, <after> ms later
    Given requests of "<route>" now take 2000 ms
    When the process is stopped and a slow caller requests "<route>" 2500 ms later
    And <after> ms more pass
    And its upstream does this: refuses it as not run
    And 50 ms more pass
    And the slow caller reads all
    Then it was sent to <sent> upstreams
    And the slow caller was told: <told>

    Examples:
      | route | after | sent | told |
      | post | 100 | 2 | nothing yet |
      | lookup | 100 | 2 | nothing yet |
      | draft | 100 | 2 | nothing yet |
      | query | 100 | 2 | nothing yet |
      | post | 2700 | 1 | 503 |
      | lookup | 2700 | 1 | 503 |
      | draft | 2700 | 1 | 503 |
      | query | 2700 | 1 | 503 |

  # What may have run is never refused as not run, and goes on while it can.
  Scenario Outline: A request whose upstream breaks off late in a stop: <route> that takes 2000 ms, <what>
    Given requests of "<route>" now take 2000 ms
    When the process is stopped and a slow caller requests "<route>" 2500 ms later
    And 2700 ms more pass
    And its upstream does this: <what>
    And 50 ms more pass
    And the slow caller reads all
    Then it was sent to <sent> upstreams
    And the slow caller was told: <told>
    When 2500 ms more pass
    Then the process has ended: yes
    And the slow caller was told: <at the end>

    Examples:
      | route | what | sent | told | at the end |
      | post | breaks off before its answer | 1 | 502 | 502 |
      | lookup | breaks off before its answer | 2 | nothing yet | 504 |
      | draft | breaks off before its answer | 1 | 502 | 502 |
      | query | breaks off before its answer | 2 | nothing yet | 504 |
      | query | breaks off after two events | 2 | 200 | a cut answer |
      | draft | breaks off after two events | 1 | a cut answer | a cut answer |

  Scenario Outline: A request that waits in a stop: <route> that takes <takes> ms, <left> ms left
    Given requests of "<route>" now take <takes> ms
    And all upstreams are away
    When the process is stopped and a slow caller with <left> ms waits for "<route>" 2500 ms later
    And <first> ms more pass
    Then the slow caller was told: nothing yet
    When 100 ms more pass
    And the slow caller reads all
    Then the slow caller was told: <told>
    When all upstreams are back
    And 50 ms more pass
    Then it was sent to <sent> upstreams

    Examples:
      | route | takes | left | first | told | sent |
      | post | 100 | 5000 | 1050 | 503 | 0 |
      | lookup | 100 | 5000 | 1050 | 503 | 0 |
      | draft | 100 | 5000 | 1050 | 503 | 0 |
      | query | 100 | 5000 | 1050 | 503 | 0 |
      | post | 100 | 3000 | 1050 | nothing yet | 1 |
      | draft | 100 | 3000 | 1050 | nothing yet | 1 |
      | post | 4000 | 5000 | 450 | 503 | 0 |
      | query | 4000 | 5000 | 450 | 503 | 0 |

  # Guards against a stream that is taken from its upstream and then has none
  # at the limit.
  Scenario Outline: A silent stream is moved in a stop only if there is time: it takes <takes> ms
    Given requests of "query" now take <takes> ms
    When the process is stopped and a slow caller requests "query" 2600 ms later
    And its upstream does this: sends two events
    And 1600 ms more pass
    Then it was sent to <sent> upstreams

    Examples:
      | takes | sent |
      | 1000 | 2 |
      | 3000 | 1 |

  # Guards against whole answers that stay with their upstreams as their callers
  # read slowly.
  Scenario Outline: A stop reads answers to their ends though their callers are slow: <kb> kB of "<route>" for each of <callers>
    When <callers> slow callers request "<route>", which answers with <kb> kB
    Then the upstream of each can't send all
    When the process is stopped
    And 3700 ms more pass
    Then the upstream of each has sent all: <all>
    And the process has ended: no
    And no caller has more than <most> kB in the process
    When 2000 ms more pass
    And the slow callers read all
    And 50 ms more pass
    Then each slow caller has a whole answer of <kb> kB: <all>

    Examples:
      | route | callers | kb | all | most |
      | draft | 1 | 5000 | yes | 10000 |
      | query | 1 | 5000 | yes | 10000 |
      | lookup | 1 | 5000 | yes | 10000 |
      | draft | 4 | 2000 | yes | 2600 |
      | draft | 4 | 5000 | no | 2600 |
