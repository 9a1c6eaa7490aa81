Feature: The stand-ins as processes

  Stand-ins that work in memory may still fail as processes: on real sockets,
  on wrong arguments, or by losing their ledger in a crash.

  Scenario: The platform is reached over real sockets
    Given a stand-in platform as a process
    When a process connects to it and calls "write k/% a 0; write k/% b 0; read k/%; put o x; get o; announce e1 9000; instances; list k; faults lose_answers 1; write l a 0; read l; faults fail_share 1; read k"
    Then it prints "swapped 1; conflict a 1; a 1; none; x; none; e1; k/%; lost; a 2; unavailable"

  Scenario: Calls to an unreachable platform have no effect
    When a process connects to a closed port and calls "write k a 0; read k"
    Then it prints "unavailable; unavailable"

  Scenario: An engine process that exits on a crash prints its ledger
    When a prompt with the crash mark is sent to an engine process that exits
    Then its status is 70 and it printed that the run crashed

  Scenario Outline: Invalid arguments are rejected at startup
    When the stand-in command is run with "<words>"
    Then the stand-in command ends with 2 and says "<message>"

    Examples:
      | words | message |
      | engine --settings {"model":3} | --settings: key 'model': 3 is not a string |
      | engine --settings {"modl":"m"} | --settings: key 'modl': unknown key; did you mean 'model'? |
      | service --settings x | --settings: not JSON: |
      | platform --listen 8080 | --listen: '8080' is not ADDRESS:PORT |
