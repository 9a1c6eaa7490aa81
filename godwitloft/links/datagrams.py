"""Sends and receives datagrams between daemons."""

import typing

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport
from twisted.internet import protocol

from godwitloft import urgent_socket
from godwitloft.links.generated.datagrams import ttypes

MAX_DATAGRAM_BYTES = 1_400
# An answer to a gateway that starts may be as long as UDP permits.
MAX_RECEIVED_BYTES = 65_536

# Read at one event while the process is busy.
BUSY_READ_BYTES = 65_536

Address = tuple[str, int]

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_DATAGRAM_BYTES,
    container_length_limit=MAX_DATAGRAM_BYTES,
)
_SHARED_PROTOCOL = _FACTORY.getProtocol(TTransport.TMemoryBuffer())


def _protocol(transport: TTransport.TMemoryBuffer) -> typing.Any:
    """Returns a protocol that reads from or writes to a transport.

    The compiled codec keeps its state in the transport alone, and to create a
    protocol takes longer than to decode most datagrams. The codec in Python,
    where nothing was compiled, keeps state that an invalid datagram spoils.
    """
    if _SHARED_PROTOCOL._fast_decode is None:
        return _FACTORY.getProtocol(transport)
    _SHARED_PROTOCOL.trans = transport
    return _SHARED_PROTOCOL


def encode(**field: typing.Any) -> bytes:
    """Encodes one datagram.

    :param field: exactly one field of the ``Datagram`` union with its body
    :return: its bytes
    """
    transport = TTransport.TMemoryBuffer()
    ttypes.Datagram(**field).write(_protocol(transport))
    return bytes(transport.getvalue())


def decode(data: bytes) -> ttypes.Datagram | None:
    """Decodes one datagram.

    :param data: its bytes
    :return: the union, or None if it is incomplete or invalid
    """
    datagram = ttypes.Datagram()
    try:
        datagram.read(_protocol(TTransport.TMemoryBuffer(data)))
        for body in (
            datagram.want,
            datagram.grant,
            datagram.sharing,
            datagram.question,
            datagram.answer,
        ):
            if body is not None:
                body.validate()
                return datagram
    except (
        Thrift.TException,
        EOFError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None
    return None


class Port(protocol.DatagramProtocol):
    """Protocol of a datagram socket.

    :param received: called with each valid datagram and its sender
    """

    def __init__(
        self, received: typing.Callable[[ttypes.Datagram, Address], None]
    ) -> None:
        self.received = received
        self.unreadable = 0
        self.unsent = 0

    def datagramReceived(self, data: bytes, address: Address) -> None:
        """Handles one datagram.

        :param data: its bytes
        :param address: of the sender
        """
        datagram = decode(data)
        if datagram is None:
            self.unreadable += 1
            return
        self.received(datagram, address)

    def send(self, data: bytes, address: Address) -> None:
        """Sends one datagram; it may get lost.

        :param data: its bytes
        :param address: IP number and port
        """
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError:
            # The send buffer is full or there is no route: the next datagram
            # carries the same state.
            self.unsent += 1


def listen(
    reactor: typing.Any, number: int, port: Port, host: str
) -> typing.Any:
    """Opens a datagram socket.

    :param reactor: the Twisted reactor
    :param number: port number
    :param port: the protocol
    :param host: IP number
    :return: Twisted's port
    """
    listening = reactor.listenUDP(
        number, port, interface=host, maxPacketSize=MAX_RECEIVED_BYTES
    )
    # At most one datagram is read at each event. Twisted would otherwise read
    # until a call fails, and mostly only one has arrived.
    listening.maxThroughput = 1
    urgent_socket.mark(listening)
    return listening


def read_many(listening: typing.Any, many: bool) -> None:
    """Lets a socket be read until it is empty, or once at each event.

    While the process is busy, events are rare: read one by one, datagrams
    would wait for seconds and then be lost.

    :param listening: what :func:`listen` returned
    :param many: whether the process is busy
    """
    listening.maxThroughput = BUSY_READ_BYTES if many else 1
