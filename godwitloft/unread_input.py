"""Tells what has arrived on a connection and was not read."""

import array
import fcntl
import socket
import termios
import typing


def arrived_bytes(transport: typing.Any) -> int:
    """Returns how many bytes the system holds that were not read.

    :param transport: a Twisted transport
    :return: their number, 0 if the system can't tell
    """
    find_socket = getattr(transport, "getHandle", None)
    handle = find_socket() if find_socket is not None else None
    if not isinstance(handle, socket.socket):
        return 0
    count = array.array("i", [0])
    try:
        fcntl.ioctl(handle, termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]
