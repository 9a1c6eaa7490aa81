Feature: State charts in files

  Code that takes a transition missing from its chart could run a request
  twice or lose it, and a wrong chart file could permit that. Inputs without
  a transition and wrong files must be refused with a clear message.

  Scenario Outline: Inputs take the transitions of a chart
    When the chart <chart> is fed "<inputs>"
    Then the chart position is in state <state>

    Examples: requests
      | chart   | inputs                                        | state     |
      | request |                                               | waiting   |
      | request | bid bid dispatch first_chunk suspend resume completed | completed |
      | request | bid withdraw refuse                           | refused   |
      | request | bid dispatch never_started                    | waiting   |
      | request | bid dispatch never_started refuse             | refused   |
      | request | bid dispatch unknown                             | unknown   |
      | request | bid dispatch first_chunk failed                       | failed    |
      | request | bid dispatch first_chunk run_again bid dispatch first_chunk completed | completed |

    Examples: runs
      | chart | inputs                                        | state     |
      | run   | dispatch start stream suspend resume end forget | forgotten |
      | run   | query dispatch dispatch                       | tombstone |
      | run   | link_lost dispatch                            | tombstone |
      | run   | dispatch start not_sent dispatch              | tombstone |
      | run   | dispatch dispatch link_lost query             | dispatched |
      | run   | refuse                                        | forgotten |

  Scenario Outline: An input without a transition is refused
    When the chart <chart> is fed "<inputs>"
    Then feeding the chart position <input> fails with "<message>"

    Examples:
      | chart   | inputs             | input    | message |
      | request |                    | dispatch | chart 'request': input 'dispatch' is not allowed in state 'waiting' |
      | request | bid dispatch       | refuse   | chart 'request': input 'refuse' is not allowed in state 'dispatched' |
      | request | bid dispatch first_chunk | never_started | chart 'request': input 'never_started' is not allowed in state 'streaming' |
      | request | bid dispatch unknown | run_again | chart 'request': input 'run_again' is not allowed in state 'unknown' |
      | request | bid dispatch unknown  | typo     | chart 'request': input 'typo' is not allowed in state 'unknown' |
      | run     | query dispatch     | start    | chart 'run': input 'start' is not allowed in state 'tombstone' |
      | run     | dispatch start stream end | start | chart 'run': input 'start' is not allowed in state 'ended' |
      | run     | refuse             | dispatch | chart 'run': input 'dispatch' is not allowed in state 'forgotten' |

  Scenario Outline: A wrong chart file is reported when loaded
    Given the chart door with states open and shut
    When its <path> is set to <json>
    Then loading the chart fails with "<message>"

    Examples:
      | path           | json     | message |
      | name           | "gate"   | chart 'door': its name is 'gate' |
      | initial        | "opne"   | chart 'door': initial state 'opne' is unknown; did you mean 'open'? |
      | states.open.on | {"close": "shutt"} | chart 'door': state 'open': input 'close' leads to unknown state 'shutt'; did you mean 'shut'? |
      | states.open.on | {"clse": "shut"} | chart 'door': state 'open': unknown input 'clse'; did you mean 'close'? |
      | states.open.on | {"close": "open"} | chart 'door': state 'shut' is never reached |
      | states.open.on | {}       | chart 'door': state 'open' can't be left but is not final |
      | states.shut.on | {"close": "open"} | chart 'door': state 'shut' is final but can be left |
      | states.shut.final | "yes" | chart 'door': key 'states.shut.final': 'yes' is not true or false |
      | inputs.knock   | "unused" | chart 'door': input 'knock' is never used |
      | inputs.my-way  | "hyphen" | chart 'door': input 'my-way' is not an identifier |

  Scenario: The generated page matches the chart files
    Then docs/CHARTS.md has the tables of all charts
