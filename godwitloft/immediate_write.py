"""Writes to TCP connections at once.

Twisted keeps what is written until its next turn, for which it registers the
socket for writing, waits, and unregisters it again: four system calls for one
small write, most of which concern a socket that could take it at once.
"""

import typing


def write(transport: typing.Any, data: bytes) -> None:
    """Writes data, in order after what was written before.

    :param transport: a Twisted transport; one that can't send at once (TLS,
        not TCP, or with unsent data) is written to as usual
    :param data: bytes to send
    """
    if can_send_now(transport):
        sent = transport.writeSomeData(data)
        # An error is noticed again, and handled, by the usual write.
        if isinstance(sent, int) and sent > 0:
            data = data[sent:]
    if data:
        transport.write(data)


def unsent_bytes(transport: typing.Any) -> int:
    """Returns how much was written and is not in the system's buffers yet.

    :param transport: a Twisted transport, 0 for one that can't tell
    """
    if not hasattr(transport, "dataBuffer"):
        return 0
    offset = getattr(transport, "offset", 0)
    waiting = getattr(transport, "_tempDataLen", 0)
    return len(transport.dataBuffer) - offset + waiting


def can_send_now(transport: typing.Any) -> bool:
    """Returns whether nothing written before is still unsent.

    :param transport: a Twisted transport
    """
    return (
        hasattr(transport, "writeSomeData")
        and not getattr(transport, "TLS", True)
        and bool(transport.connected)
        and not transport.disconnecting
        and not transport.dataBuffer
        and getattr(transport, "_tempDataBuffer", None) == []
    )
