"""Asks the system to send some packets before those of callers' answers.

Linux queues packets with this type of service in the band for interactive
traffic, which its default queue (pfifo_fast) empties first. Where the link is
shaped elsewhere, routers may heed or ignore it.
"""

import socket
import typing

# Low delay, as RFC 1349 defines it.
LOW_DELAY = 0x10


def mark(transport: typing.Any) -> None:
    """Marks the packets that a socket sends from now on.

    :param transport: a Twisted transport or UDP port; nothing is done for one
        without a system's socket, or where the system doesn't permit it
    """
    find_socket = getattr(transport, "getHandle", None)
    handle = find_socket() if find_socket is not None else None
    if not isinstance(handle, socket.socket):
        return
    try:
        handle.setsockopt(socket.IPPROTO_IP, socket.IP_TOS, LOW_DELAY)
    except OSError:
        return
