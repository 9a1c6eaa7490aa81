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

  # Guards against answers that a change beside a stop ends: its request has
  # been sent.
  Scenario Outline: What changes in a stop cuts no answer: <route>, <change>
    Given requests of "<route>" now take 2000 ms
    When the process is stopped and a slow caller requests "<route>" 2500 ms later
    And meanwhile <change>
    And 2500 ms more pass
    And its upstream answers, framed by <framing>
    And the slow caller reads all
    And 100 ms more pass
    Then the slow caller has a whole answer of 3 events
    And it was sent to 1 upstreams
    And the process has ended: yes

    Examples:
      | route | change | framing |
      | post | its route is dropped | length |
      | draft | its route is dropped | close |
      | query | its route is dropped | chunks |
      | post | its key is withdrawn | length |
      | draft | its key is withdrawn | close |
      | query | its key is withdrawn | chunks |
      | draft | its team's limit is lowered | close |
      | post | all upstreams are leaving | close |
      | draft | all upstreams are leaving | close |
      | post | the list of upstreams becomes empty | length |
      | draft | the list of upstreams becomes empty | close |
      | query | the list of upstreams becomes empty | chunks |
      | post | the store is away | close |
      | draft | the store is away | chunks |
      | query | the store is away | length |
      | query | nothing changes | chunks |

  # Guards against a refusal that isn't true, and against a connection that is
  # closed instead.
  Scenario Outline: A request that comes <when> ms after SIGTERM on a kept connection: <told>
    Given requests of "lookup" now take 2000 ms
    When the process is stopped and another caller has a request running
    And <when> ms more pass
    And a slow caller with a kept connection requests "lookup"
    And the slow caller reads all
    Then the slow caller was told: <told>
    When its own request is answered if it was sent
    And the slow caller reads all
    Then the slow caller has status <status>

    Examples:
      | when | told | status |
      | 0 | nothing yet | 200 |
      | 2500 | nothing yet | 200 |
      | 2700 | nothing yet | 200 |
      | 3500 | nothing yet | 200 |
      | 3650 | 503 | 503 |
      | 4900 | 503 | 503 |

  # Guards against a stop that begins before the gateway could serve anything.
  Scenario Outline: A gateway that is stopped before <lacks> is there answers what it is asked: <ms> ms
    Given a new gateway process without <lacks>
    When the process is stopped
    And a slow caller with a kept connection requests "post"
    And the slow caller reads all
    Then the slow caller was told: 503
    When <ms> ms more pass
    And <lacks> comes
    And a slow caller with a kept connection requests "post"
    And the slow caller reads all
    Then the slow caller was told: <told>
    When its own request is answered if it was sent
    And the slow caller reads all
    Then the slow caller has status <status>
    When 3000 ms more pass
    Then the process has ended: yes

    Examples:
      | lacks | ms | told | status |
      | the configuration | 100 | nothing yet | 200 |
      | the configuration | 3700 | 503 | 503 |
      | the list of upstreams | 100 | nothing yet | 200 |
      | the list of upstreams | 3700 | 503 | 503 |

  # Guards against answers of a kind, framing or attempt that a stop forgets. One
  # whose end nothing marks is asked for once more, where that may be.
  Scenario Outline: The answer to attempt <number> is whole in a stop: <route>, framed by <framing>
    Given three upstreams of each service
    When the process is stopped and a slow caller requests "<route>" 2500 ms later
    And each attempt before number <number> is refused as not run after 500 ms
    And 1500 ms more pass
    And the last attempt is answered, framed by <framing>
    And the slow caller reads all
    And <ms> ms more pass
    Then it was sent to <sent> upstreams
    And the slow caller has a whole answer of 3 events
    And the process has ended: yes

    Examples:
      | route | framing | number | sent | ms |
      | post | length | 1 | 1 | 100 |
      | post | length | 2 | 2 | 100 |
      | post | length | 3 | 3 | 100 |
      | post | chunks | 1 | 1 | 100 |
      | post | chunks | 2 | 2 | 100 |
      | post | chunks | 3 | 3 | 100 |
      | post | close | 1 | 1 | 100 |
      | post | close | 2 | 2 | 100 |
      | post | close | 3 | 3 | 100 |
      | lookup | length | 1 | 1 | 100 |
      | lookup | length | 2 | 2 | 100 |
      | lookup | length | 3 | 3 | 100 |
      | lookup | chunks | 1 | 1 | 100 |
      | lookup | chunks | 2 | 2 | 100 |
      | lookup | chunks | 3 | 3 | 100 |
      | lookup | close | 1 | 1 | 100 |
      | lookup | close | 2 | 2 | 100 |
      | lookup | close | 3 | 3 | 100 |
      | draft | length | 1 | 1 | 100 |
      | draft | length | 2 | 2 | 100 |
      | draft | length | 3 | 3 | 100 |
      | draft | chunks | 1 | 1 | 100 |
      | draft | chunks | 2 | 2 | 100 |
      | draft | chunks | 3 | 3 | 100 |
      | draft | close | 1 | 1 | 100 |
      | draft | close | 2 | 2 | 100 |
      | draft | close | 3 | 3 | 100 |
      | query | length | 1 | 1 | 100 |
      | query | length | 2 | 2 | 100 |
      | query | length | 3 | 3 | 100 |
      | query | chunks | 1 | 1 | 100 |
      | query | chunks | 2 | 2 | 100 |
      | query | chunks | 3 | 3 | 100 |
      | query | close | 1 | 2 | 4500 |
      | query | close | 2 | 3 | 4500 |
      | query | close | 3 | 4 | 4500 |

  Scenario Outline: A stream that goes on in a stop is whole: framed by <framing>, and then by <second>
    Given three upstreams of each service
    When the process is stopped and a slow caller requests "query" 2500 ms later
    And its upstream resets it after two events, framed by <framing>
    And 1500 ms more pass
    And the last attempt sends event 3, framed by <second>
    And the slow caller reads all
    And 4000 ms more pass
    Then the slow caller has a whole answer of 3 events
    And the process has ended: yes

    Examples:
      | framing | second |
      | length | length |
      | chunks | chunks |
      | chunks | close |
      | close | chunks |
      | close | close |

  # Guards against whole answers that are held back until they are on record, and
  # dropped at the limit.
  Scenario Outline: A stream that is held back at the limit of a stop, framed by <framing>: <state>
    Given streams that must be on record before their first event
    When the process is stopped and a slow caller requests "query" 2600 ms later
    And 4300 ms more pass
    And its upstream's answer is held back: <state>, framed by <framing>
    And the slow caller reads all
    Then the slow caller was told: nothing yet
    When 200 ms more pass
    And the slow caller reads all
    Then the slow caller has <received>

    Examples:
      | state | framing | received |
      | all has come | length | a whole answer of 3 events |
      | all has come | chunks | a whole answer of 3 events |
      | all has come | close | a whole answer of 3 events |
      | a part has come | chunks | status 504 |
      | it was reset after a part | chunks | status 504 |
