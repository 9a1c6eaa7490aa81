"""TCP relay on loopback that can delay, hold and reset connections."""

import collections
import typing

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

DELAY_S = 0.3
PROBE_INTERVAL_S = 0.1
# Modes of forwarding. SILENT holds all bytes, DEAF only those to the client.
PASS = "pass"
DELAY = "delay"
SILENT = "silent"
DEAF = "deaf"
REFUSE = "refuse"


class Connection(protocol.Protocol):
    """One of the two connections that a relay joins.

    :param relay: the relay
    :param to_server: whether bytes read here are forwarded to the server
    """

    def __init__(self, relay: "Relay", to_server: bool) -> None:
        self.relay = relay
        self.to_server = to_server
        self.peer: Connection | None = None
        # Bytes to forward with their due times, in order of arrival.
        self.queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.is_closed = False

    def connectionMade(self) -> None:
        """Opens the connection to the server for a new client."""
        if self.to_server:
            self.relay.on_accept(self)

    def dataReceived(self, data: bytes) -> None:
        """Forwards bytes according to the mode of the relay.

        :param data: bytes read
        """
        self.relay.forward(self, data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the other connection in the same way.

        :param reason: why this connection ended
        """
        self.is_closed = True
        self.relay.connections.discard(self)
        is_clean = reason.check(error.ConnectionDone) is not None
        delay_s = DELAY_S * 2 if self.queue else 0
        if self.to_server:
            self.relay.reactor.callLater(delay_s, self.end_peer, is_clean)
        else:
            # By then the relay refuses connections if its server does.
            self.relay.probe(
                lambda: self.relay.reactor.callLater(
                    delay_s, self.end_peer, is_clean
                )
            )

    def end_peer(self, is_clean: bool) -> None:
        """Ends the other connection.

        :param is_clean: whether to close it, else it is reset
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
        """Writes the bytes that are due to the other connection."""
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
    """Listens on an address and forwards bytes to a server.

    :param reactor: the twisted reactor; all methods run on its thread
    :param server: IP address and port of the server
    """

    def __init__(self, reactor: typing.Any, server: tuple[str, int]) -> None:
        self.reactor = reactor
        self.server = server
        self.mode = PASS
        self.connections: set[Connection] = set()
        self.host = ""
        self.port = 0
        # None while the server refuses connections, and so does the relay.
        self.listening: typing.Any = None

    def listen(self, host: str) -> int:
        """Starts to listen on a free port.

        :param host: IP address
        :return: the port
        """
        self.host = host
        self.start_listening()
        self.port = int(self.listening.getHost().port)
        return self.port

    def start_listening(self) -> None:
        """Accepts connections, on the same port as before if it had one."""
        factory = protocol.Factory.forProtocol(lambda: Connection(self, True))
        self.listening = self.reactor.listenTCP(
            self.port, factory, interface=self.host
        )

    def probe(self, on_probed: typing.Callable[[], object]) -> None:
        """Finds out whether the server accepts connections.

        :param on_probed: called afterwards
        """
        endpoint = endpoints.TCP4ClientEndpoint(self.reactor, *self.server)
        connected = endpoints.connectProtocol(endpoint, protocol.Protocol())

        def on_connected(probe: protocol.Protocol) -> None:
            typing.cast(typing.Any, probe.transport).abortConnection()
            if self.listening is None:
                self.start_listening()

        def on_failed(_problem: failure.Failure) -> None:
            if self.listening is not None:
                self.listening.stopListening()
                self.listening = None
                self.probe_again()

        connected.addCallbacks(on_connected, on_failed)
        connected.addBoth(lambda _result: on_probed())

    def probe_again(self) -> None:
        """Probes the server until it accepts connections again."""

        def on_probed() -> None:
            if self.listening is None:
                self.probe_again()

        self.reactor.callLater(PROBE_INTERVAL_S, self.probe, on_probed)

    def on_accept(self, client: Connection) -> None:
        """Accepts a connection from a client and connects to the server.

        :param client: the connection
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
            self.probe(on_probed)

        def on_probed() -> None:
            if not client.is_closed:
                typing.cast(typing.Any, client.transport).abortConnection()

        connected.addCallbacks(on_connected, on_connect_failed)

    def forward(self, connection: Connection, data: bytes) -> None:
        """Queues bytes and forwards them, delayed in mode DELAY.

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
        """Tells whether bytes read from a connection are held back now.

        :param connection: where bytes were read
        :return: whether they are held back
        """
        if self.mode == DEAF:
            return not connection.to_server
        return self.mode == SILENT

    def set_mode(self, mode: str) -> None:
        """Changes the mode.

        :param mode: one of the mode constants of this module
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
