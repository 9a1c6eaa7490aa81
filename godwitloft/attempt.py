"""Sends one HTTP request over a connection of its own.

Each attempt opens its own connection. On a persistent one, it would be unknown
whether the upstream closed it before or after it started the request, and
excess bytes after an answer would be taken for the next answer.
"""

import dataclasses
import enum
import socket
import typing

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
import zope.interface

from godwitloft import answer_end
from godwitloft import clock as clocks
from godwitloft import connection_check
from godwitloft import immediate_write
from godwitloft import read_size

Header = answer_end.Header

CONNECT_TIMEOUT_MS = 600
# An unreachable upstream is detected by unacknowledged data, and by TCP
# keepalive probes while the connection is idle.
UNACKNOWLEDGED_TIMEOUT_MS = 2_500
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# The connection was refused: no process listens there.
NOT_CONNECTED = "not_connected"
# No connection in time, or no route: whether a process listens isn't known.
NOT_REACHED = "not_reached"
MALFORMED_REQUEST = "malformed_request"
MALFORMED_ANSWER = "malformed_answer"
MAX_INTERIM_ANSWERS = 100
MAX_READ_BYTES = 64 * 1024
CONNECTION_RESET = "connection_reset"
SERVER_GONE = "server_gone"
SERVER_RESTARTED = "server_restarted"
# A process that ends closes its connections and its port one after the other.
END_CHECK_DELAY_MS = 50
# Of a check that shows neither that the server lives nor that it doesn't.
END_CHECKS = 2

CheckServer = typing.Callable[[typing.Callable[[bool | None], None]], None]


class End(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as it is sent to an upstream.

    :param method: HTTP method
    :param target: path and query
    :param headers: all headers, including those of the framing
    :param body: the complete body
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


@dataclasses.dataclass(frozen=True)
class AttemptCallbacks:
    """Functions that an attempt calls.

    :param on_head: called with status and headers of the answer
    :param on_data: called with each part of the body
    :param on_end: called once with the kind of the end and its reason
    :param before_send: called once the connection is made, before anything is
        sent; it may cancel the attempt
    """

    on_head: typing.Callable[[int, list[Header]], None]
    on_data: typing.Callable[[bytes], None]
    on_end: typing.Callable[[End, str], None]
    before_send: typing.Callable[[], object] = lambda: None


@zope.interface.implementer(interfaces.IHalfCloseableProtocol)
class Attempt(protocol.Protocol):
    """One connection to an upstream, for one request.

    :param outgoing: the request to send
    :param callbacks: functions to call
    :param check_server: finds out whether the server still accepts
        connections, None if that can't be told; it is asked where only the end
        of the connection marks that of the answer
    """

    def __init__(
        self,
        outgoing: Outgoing,
        callbacks: AttemptCallbacks,
        check_server: CheckServer,
    ) -> None:
        self.outgoing = outgoing
        self.callbacks = callbacks
        self.check_server = check_server
        self.framing = answer_end.Framing.NO_BODY
        self.parser = h11.Connection(h11.CLIENT)
        self.connector: typing.Any = None
        self.sent = False
        self.ended = False
        # Whether the server has closed the connection, and nothing but that
        # marks the end of its answer.
        self.is_closed = False
        self.interim_answers = 0
        self.read_bytes = read_size.FIRST_BYTES
        # Parts of the answer that the last read has completed.
        self.read_parts = 0

    def connectionMade(self) -> None:
        """Sends the complete request."""
        if not self.ended:
            self.callbacks.before_send()
        if self.ended:
            self.abort_transport()
            return
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.bufferSize = self.read_bytes
        enable_reachability_probes(tcp_socket(transport))
        try:
            request = self.request_bytes()
        except h11.LocalProtocolError:
            self.end(End.NOT_SENT, MALFORMED_REQUEST)
            return
        self.sent = True
        immediate_write.write(transport, request)
        # The rest of the attempt may last for long, and needs no body.
        self.outgoing = dataclasses.replace(self.outgoing, body=b"")

    def request_bytes(self) -> bytes:
        """Returns the complete request as it is sent.

        :return: head and body
        :raises h11.LocalProtocolError: if HTTP can't carry it
        """
        outgoing = self.outgoing
        head = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=outgoing.headers,
        )
        parts = [self.parser.send(head) or b""]
        if outgoing.body:
            parts.append(self.parser.send(h11.Data(data=outgoing.body)) or b"")
        parts.append(self.parser.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def dataReceived(self, data: bytes) -> None:
        """Parses a part of the answer.

        :param data: bytes from the upstream
        """
        if self.ended:
            return
        self.read_parts = 0
        try:
            self.parser.receive_data(data)
            self.read()
        except h11.RemoteProtocolError:
            self.end(End.BROKEN, MALFORMED_ANSWER)
        self.read_bytes = read_size.next_bytes(
            self.read_bytes, len(data), self.read_parts, MAX_READ_BYTES
        )
        typing.cast(typing.Any, self.transport).bufferSize = self.read_bytes

    def read(self) -> None:
        """Handles the events that the parser has completed."""
        while not self.ended:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self.read_parts += 1
            if isinstance(event, h11.InformationalResponse):
                self.count_interim_answer()
            elif isinstance(event, h11.Response):
                self.framing = answer_end.framing(
                    self.outgoing.method, event.status_code, event.headers
                )
                self.callbacks.on_head(event.status_code, list(event.headers))
            elif isinstance(event, h11.Data):
                self.callbacks.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.end(End.COMPLETE, "")
            elif isinstance(event, h11.ConnectionClosed):
                self.end(End.BROKEN, "connection_closed")

    def count_interim_answer(self) -> None:
        """Ends the attempt if interim answers (status 1xx) go on and on."""
        self.interim_answers += 1
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            self.end(End.BROKEN, MALFORMED_ANSWER)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the attempt if its answer has not ended.

        :param reason: twisted's reason; a clean close completes an answer
            without a length, if its server has not ended with it
        """
        if self.ended:
            return
        if not reason.check(error.ConnectionDone):
            self.end(End.BROKEN, CONNECTION_RESET)
        else:
            self.finish_reading()

    def readConnectionLost(self) -> None:
        """Ends the answer, while this side of the connection stays open.

        A server that is in trouble may close its side first and reset the
        connection soon after, with a part of the request unread.
        """
        if not self.ended and not self.is_closed:
            self.finish_reading()

    def writeConnectionLost(self) -> None:
        """Does nothing: this side is never closed alone."""

    def finish_reading(self) -> None:
        """Ends an answer whose connection the server has closed cleanly."""
        if self.framing is answer_end.Framing.CLOSE:
            self.is_closed = True
            self.confirm_end(END_CHECKS)
        else:
            self.read_end()

    def confirm_end(self, checks: int) -> None:
        """Completes an answer without a length unless its server is gone.

        The connections of a process that is killed are closed as cleanly as
        one whose answer is whole. A server that only can't be reached, as its
        queue of connections is full, counts as alive.

        :param checks: how often the server is checked at most
        """

        def on_checked(accepts: bool | None) -> None:
            if self.ended:
                return
            if accepts is None and checks > 1:
                self.confirm_end(checks - 1)
            elif accepts is False:
                self.end(End.BROKEN, SERVER_GONE)
            else:
                self.read_end()

        self.check_server(on_checked)

    def conclude(self) -> None:
        """Ends a closed answer without waiting for the check of its server.

        Nothing happens if its connection is open.
        """
        if self.is_closed and not self.ended:
            self.read_end()

    def read_end(self) -> None:
        """Ends the attempt as the parser takes the end of the connection."""
        if self.is_closed and self.was_reset():
            self.end(End.BROKEN, CONNECTION_RESET)
            return
        try:
            self.parser.receive_data(b"")
            self.read()
        except h11.RemoteProtocolError:
            self.end(End.BROKEN, "answer_cut")
        if not self.ended:
            self.end(End.BROKEN, "connection_closed")

    def was_reset(self) -> bool:
        """Returns whether a connection was reset that isn't read any more."""
        transport = typing.cast(typing.Any, self.transport)
        if transport is None or not transport.connected:
            return False
        problem = tcp_socket(transport).getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        return problem != 0

    def end(self, how: End, reason: str) -> None:
        """Closes the connection and reports the end.

        :param how: kind of the end
        :param reason: short name for logs and metrics
        """
        if self.ended:
            return
        self.ended = True
        transport = self.transport
        # A server that has answered without reading the rest may never do so.
        is_sent = not immediate_write.unsent_bytes(transport)
        if how is End.COMPLETE and transport is not None and is_sent:
            transport.loseConnection()
        else:
            self.abort_transport()
        self.callbacks.on_end(how, reason)

    def cancel(self) -> None:
        """Closes the connection, which stops the upstream's work."""
        if self.ended:
            return
        self.ended = True
        if self.transport is None and self.connector is not None:
            self.connector.disconnect()
        self.abort_transport()

    def pause_reading(self, paused: bool) -> None:
        """Pauses or continues reading the answer.

        :param paused: True to pause, False to continue
        """
        transport = typing.cast(typing.Any, self.transport)
        if transport is None or self.ended or self.is_closed:
            return
        if paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def abort_transport(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()


class AttemptFactory(protocol.ClientFactory):
    """Creates the connection of one attempt.

    :param attempt: protocol of the connection
    """

    noisy = False

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt

    def buildProtocol(self, addr: object) -> Attempt:
        """Returns the attempt.

        :param addr: address of the upstream
        :return: the attempt
        """
        return self.attempt

    def clientConnectionFailed(
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Ends the attempt; nothing was sent.

        :param connector: twisted's connector
        :param reason: twisted's reason
        """
        is_refused = reason.check(error.ConnectionRefusedError) is not None
        self.attempt.end(
            End.NOT_SENT, NOT_CONNECTED if is_refused else NOT_REACHED
        )


def start(
    reactor: typing.Any,
    address: tuple[str, int],
    outgoing: Outgoing,
    callbacks: AttemptCallbacks,
    own_host: str = "",
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    tls_name: str | None = None,
    check_process: CheckServer | None = None,
) -> Attempt:
    """Sends a request to a server.

    :param reactor: the twisted reactor
    :param address: host and TCP port of the server
    :param outgoing: the request to send
    :param callbacks: functions to call
    :param own_host: local address to connect from, empty for any
    :param connect_timeout_ms: how long to wait for the connection
    :param tls_name: name that the server's certificate must have, None for a
        connection without TLS
    :param check_process: finds out whether the process that accepts
        connections is the one that got the request, None for no such check
    :return: the attempt
    """

    def check_server(on_checked: typing.Callable[[bool | None], None]) -> None:
        def on_checked_at_once(accepted: bool | None) -> None:
            reactor.callLater(
                END_CHECK_DELAY_MS / clocks.MS_PER_S,
                connection_check.start,
                reactor,
                address,
                lambda accepts: on_checked_later(accepted, accepts),
                own_host,
            )

        def on_checked_later(
            accepted: bool | None, accepts: bool | None
        ) -> None:
            if accepts and accepted is False:
                # Another process listens there by now.
                attempt.end(End.BROKEN, SERVER_RESTARTED)
            elif accepts and check_process is not None:
                check_process(
                    lambda is_same: on_process_checked(
                        attempt, is_same, on_checked
                    )
                )
            else:
                on_checked(accepts)

        # A port that is closed for a moment only is closed right away.
        connection_check.start(reactor, address, on_checked_at_once, own_host)

    attempt = Attempt(outgoing, callbacks, check_server)
    factory: typing.Any = AttemptFactory(attempt)
    if tls_name is not None:
        factory = wrap_in_tls(reactor, factory, tls_name)
    attempt.connector = reactor.connectTCP(
        *address,
        factory,
        timeout=connect_timeout_ms / clocks.MS_PER_S,
        bindAddress=(own_host, 0) if own_host else None,
    )
    return attempt


def on_process_checked(
    attempt: Attempt,
    is_same: bool | None,
    on_checked: typing.Callable[[bool | None], None],
) -> None:
    """Breaks an answer off whose process is another one by now.

    A closed port may be that of a process which ends in order; a process that
    has started again proves that the one before has ended.

    :param attempt: the attempt that got the answer
    :param is_same: False if the process has started again
    :param on_checked: called with anything else
    """
    if is_same is False:
        attempt.end(End.BROKEN, SERVER_RESTARTED)
    else:
        on_checked(is_same)


def wrap_in_tls(
    reactor: typing.Any, factory: protocol.ClientFactory, server_name: str
) -> typing.Any:
    """Returns a factory whose connections use TLS.

    The libraries are imported only here, as most programs need none.

    :param reactor: the twisted reactor
    :param factory: creates the protocol within TLS
    :param server_name: name that the server's certificate must have
    :return: the factory to connect with
    """
    from twisted.internet import ssl
    from twisted.protocols import tls

    options = ssl.optionsForClientTLS(server_name)
    return tls.TLSMemoryBIOFactory(options, True, factory, reactor)


def tcp_socket(transport: typing.Any) -> socket.socket:
    """Returns the TCP socket of a connection with or without TLS.

    :param transport: a connected transport
    :return: its socket
    """
    handle = transport.getHandle()
    if isinstance(handle, socket.socket):
        return handle
    tcp_handle: socket.socket = transport.transport.getHandle()
    return tcp_handle


def enable_reachability_probes(handle: socket.socket) -> None:
    """Sets TCP options so that the kernel detects an unreachable host.

    :param handle: a connected TCP socket
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        ),
    )
    for level, option, value in options:
        handle.setsockopt(level, option, value)
