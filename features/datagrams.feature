Feature: Datagrams are decoded one by one

  # Guards against a codec whose state a damaged datagram spoils for all later
  # ones: all datagrams share it.
  Scenario Outline: After one with <damage> by the <codec> codec
    Given datagrams are decoded by the <codec> codec
    When a datagram with <damage> is received
    Then it is ignored
    And the next one is decoded, and what is encoded can be decoded

    Examples:
      | codec | damage |
      | compiled | half of its bytes |
      | compiled | no bytes |
      | compiled | random bytes |
      | compiled | a length past its end |
      | compiled | a length above the bound |
      | compiled | a list above the bound |
      | compiled | 60000 structs within each other |
      | compiled | lists within each other |
      | Python | half of its bytes |
      | Python | no bytes |
      | Python | random bytes |
      | Python | a length past its end |
      | Python | a length above the bound |
      | Python | a list above the bound |
      | Python | 60000 structs within each other |
      | Python | lists within each other |

  # Guards against system calls that find nothing: each datagram was followed
  # by a read that failed.
  Scenario Outline: <number> datagrams arrive, <together> at a time
    Given a socket for datagrams
    When <number> datagrams are sent to it, <together> at a time
    Then <number> are received by at most <most> reads

    Examples:
      | number | together | most |
      | 20 | 1 | 20 |
      | 20 | 5 | 20 |

  # Guards against answers to a gateway that starts which it can't read.
  Scenario Outline: A gateway tells what <gateways> others had used of <teams> allowances
    Given a socket for datagrams
    When a gateway tells it what <gateways> others had used of <teams> allowances
    Then it reads of <gateways>

    Examples:
      | gateways | teams |
      | 3 | 20 |
      | 15 | 20 |
      | 20 | 40 |
