"""One connection between two daemons.

Frames are length-prefixed. The first message in each direction is a
``Hello``; anything before it, a frame that is too long or one that doesn't
decode closes the connection.
"""

import dataclasses
import typing

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure
import zope.interface

from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes

MAX_BUFFERED_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Callbacks of a link into its owner.

    :param on_hello: called with the peer's hello; returns whether the link
        is accepted
    :param on_message: called with ``(link, field name, body)`` for every
        later message
    :param on_lost: called with the reason when the connection is closed
    :param on_writable: called with ``(link, whether more may be written)``
    """

    on_hello: typing.Callable[["Link", ttypes.Hello], bool]
    on_message: typing.Callable[["Link", str, codec.Body], None]
    on_lost: typing.Callable[["Link", str], None]
    on_writable: typing.Callable[["Link", bool], None]


@zope.interface.implementer(interfaces.IPushProducer)
class Link(basic.Int32StringReceiver):
    """A connection that carries the messages of the ``Message`` union.

    :param handlers: callbacks into the owner
    :param hello: first message to send
    """

    MAX_LENGTH = codec.MAX_FRAME_BYTES

    transport: typing.Any

    def __init__(self, handlers: Handlers, hello: ttypes.Hello) -> None:
        self.handlers = handlers
        self.hello = hello
        self.peer: ttypes.Hello | None = None
        self.can_write = True
        self.last_received_ms = 0
        self.close_reason = ""

    def connectionMade(self) -> None:
        """Sends the hello."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.send(hello=self.hello)

    def send(self, **field: codec.Body) -> None:
        """Sends one message; does nothing on a closed link.

        :param field: exactly one field of the ``Message`` union
        """
        if self.connected:
            self.sendString(codec.encode(**field))

    def send_frame(self, frame: bytes) -> None:
        """Sends a message that is already encoded.

        :param frame: result of :func:`codec.encode`
        """
        if self.connected:
            self.sendString(frame)

    def stringReceived(self, string: bytes) -> None:
        """Handles one frame.

        :param string: the frame without its length
        """
        try:
            name, body = codec.decode(string)
        except codec.LinkError as problem:
            self.close(str(problem))
            return
        if self.peer is None:
            self.handle_hello(name, body)
        else:
            self.handlers.on_message(self, name, body)

    def handle_hello(self, name: str, body: codec.Body) -> None:
        """Handles the first message of the peer.

        :param name: name of the message
        :param body: its body
        """
        if name != "hello":
            self.close(f"first message is {name!r}, not 'hello'")
            return
        if body.protocol_version != codec.PROTOCOL_VERSION:
            self.close(f"protocol version {body.protocol_version} is unknown")
            return
        self.peer = body
        if not self.handlers.on_hello(self, body):
            self.close("peer was refused")

    def lengthLimitExceeded(self, length: int) -> None:
        """Closes the connection on a frame that is too long.

        :param length: announced length in bytes
        """
        self.close(f"frame of {length} bytes is too long")

    def close(self, reason: str) -> None:
        """Closes the connection at once.

        :param reason: for the log
        """
        self.close_reason = self.close_reason or reason
        self.transport.abortConnection()

    def connectionLost(
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Reports the closed connection to the owner.

        :param reason: failure as twisted reports it
        """
        self.connected = 0
        self.handlers.on_lost(
            self, self.close_reason or reason.getErrorMessage()
        )

    def pauseProducing(self) -> None:
        """Reports that the send buffer is full."""
        self.can_write = False
        self.handlers.on_writable(self, False)

    def resumeProducing(self) -> None:
        """Reports that the send buffer has space again."""
        self.can_write = True
        self.handlers.on_writable(self, True)

    def stopProducing(self) -> None:
        """Does nothing: connectionLost reports the closed connection."""
