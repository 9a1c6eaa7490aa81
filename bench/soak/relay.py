"""A relay on loopback whose connections can be harmed."""

import collections
import typing

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

DELAY_S = 0.3
# Modes: what becomes of bytes to the server, and of bytes to the client.
PASS = "pass"
DELAY = "delay"
SILENT = "silent"
DEAF = "deaf"
REFUSE = "refuse"


class Connection(protocol.Protocol):
    """One connection of the two that a relay joins.

    :param relay: its owner
    :param to_server: whether what is read here goes to the server
    """

    def __init__(self, relay: "Relay", to_server: bool) -> None:
        self.relay = relay
        self.to_server = to_server
        self.peer: Connection | None = None
        # What is still to be carried on, and when: bytes never overtake.
        self.queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.is_closed = False

    def connectionMade(self) -> None:
        """Joins this connection with one to the server."""
        if self.to_server:
            self.relay.on_accept(self)

    def dataReceived(self, data: bytes) -> None:
        """Carries bytes on, as the relay's mode wants it.

        :param data: what was read
        """
        self.relay.forward(self, data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the other connection in the same way.

        :param reason: how this one ended
        """
        self.is_closed = True
        self.relay.connections.discard(self)
        is_clean = reason.check(error.ConnectionDone) is not None
        delay_s = DELAY_S * 2 if self.queue else 0
        self.relay.reactor.callLater(delay_s, self.end_peer, is_clean)

    def end_peer(self, is_clean: bool) -> None:
        """Ends the other connection.

        :param is_clean: whether it is closed, not reset
        """
        peer = self.peer
        if peer is None or peer.is_closed:
            return
        transport = typing.cast(typing.Any, peer.transport)
        if is_clean:
            transport.loseConnection()
        else:
            transport.abortConnection()

    def send_due(self) -> None:
        """Writes to the other connection what is due."""
        now_s = self.relay.reactor.seconds()
        while (
            self.queue
            and self.queue[0][0] <= now_s
            and self.peer is not None
            and not self.relay.is_held(self)
        ):
            _due_s, data = self.queue.popleft()
            if not self.peer.is_closed:
                typing.cast(typing.Any, self.peer.transport).write(data)


class Relay:
    """Listens on an address and carries bytes to a server.

    :param reactor: the twisted reactor; all methods run on its thread
    :param server: IP number and port of the server
    """

    def __init__(self, reactor: typing.Any, server: tuple[str, int]) -> None:
        self.reactor = reactor
        self.server = server
        self.mode = PASS
        self.connections: set[Connection] = set()

    def listen(self, host: str) -> int:
        """Opens the port.

        :param host: IP number
        :return: the port
        """
        factory = protocol.Factory.forProtocol(lambda: Connection(self, True))
        return int(
            self.reactor.listenTCP(0, factory, interface=host).getHost().port
        )

    def on_accept(self, client: Connection) -> None:
        """Takes a client's connection.

        :param client: its end
        """
        if self.mode == REFUSE:
            typing.cast(typing.Any, client.transport).abortConnection()
            return
        self.connections.add(client)
        server = Connection(self, False)
        server.peer = client
        endpoint = endpoints.TCP4ClientEndpoint(self.reactor, *self.server)
        connected = endpoints.connectProtocol(endpoint, server)

        def on_connected(_server: Connection) -> None:
            self.connections.add(server)
            client.peer = server
            if client.is_closed:
                typing.cast(typing.Any, server.transport).abortConnection()
            client.send_due()

        def on_connect_failed(_problem: failure.Failure) -> None:
            if not client.is_closed:
                typing.cast(typing.Any, client.transport).abortConnection()

        connected.addCallbacks(on_connected, on_connect_failed)

    def forward(self, connection: Connection, data: bytes) -> None:
        """Carries bytes on, later, or not yet.

        :param connection: where they were read
        :param data: the bytes
        """
        delay_s = DELAY_S if self.mode == DELAY else 0.0
        connection.queue.append((self.reactor.seconds() + delay_s, data))
        if delay_s:
            self.reactor.callLater(delay_s, connection.send_due)
        else:
            connection.send_due()

    def is_held(self, connection: Connection) -> bool:
        """Tells whether nothing is carried on from a connection now.

        :param connection: where bytes were read
        :return: whether they have to wait
        """
        if self.mode == DEAF:
            return not connection.to_server
        return self.mode == SILENT

    def set_mode(self, mode: str) -> None:
        """Changes what becomes of bytes from now on.

        :param mode: one of the modes above
        """
        self.mode = mode
        if mode == REFUSE:
            self.reset()
        if mode == PASS:
            for connection in tuple(self.connections):
                connection.send_due()

    def reset(self) -> None:
        """Resets every connection."""
        for connection in tuple(self.connections):
            typing.cast(typing.Any, connection.transport).abortConnection()
