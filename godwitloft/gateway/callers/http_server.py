"""Serves callers' HTTP/1.1 connections.

Each connection reads one request after the other and writes the answers.
Framing is done with ``h11``: an answer whose end was not received must never
look complete to the caller, and neither klein nor twisted's own server leaves
that decision to the application for each part of an answer.
"""

import dataclasses
import socket
import typing

import h11
from twisted.internet import protocol
from twisted.python import failure

from godwitloft import answer_end
from godwitloft import clock as clocks
from godwitloft import immediate_write
from godwitloft import read_size
from godwitloft import unread_input
from godwitloft.gateway import model
from godwitloft.gateway.callers import headers
from godwitloft.gateway.callers import unsent_bound

Header = headers.Header

# With more than this unsent, the gateway reads no more of an answer, unless it
# is about to end.
MAX_UNSENT_BYTES = 256 * 1024
# With more than this behind a request, the gateway reads no more of its caller
# until that request is answered.
MAX_UNREAD_BYTES = 64 * 1024
SERVICE_UNAVAILABLE = 503
# Of a request that is refused before it was read.
RETRY_AFTER_S = b"0.5"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Refusal of a request that can't be read.

    :param status: HTTP status
    :param reason: short name for logs and metrics
    """

    status: int
    reason: str


class BodyBudget:
    """Bytes of requests' bodies that are held, of all connections together.

    :param limit_bytes: how many may be held
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def free_bytes(self) -> int:
        """Bytes that may be held besides those that are."""
        return max(0, self.limit_bytes - self.held_bytes)

    def take(self, count: int) -> bool:
        """Counts bytes that were received.

        :param count: their number
        :return: whether they may be held
        """
        self.held_bytes += count
        return self.held_bytes <= self.limit_bytes

    def give_back(self, count: int) -> None:
        """Counts bytes that are not held any more.

        :param count: their number
        """
        self.held_bytes -= count


class Exchange:
    """One request of a caller, and methods to send its answer.

    :param connection: the caller's connection
    :param head: method, target and headers
    :param arrived_ms: when the head had been read
    """

    def __init__(
        self, connection: "HttpConnection", head: h11.Request, arrived_ms: int
    ) -> None:
        self.connection = connection
        self.method: bytes = head.method
        self.target: bytes = head.target
        self.headers: list[Header] = list(head.headers)
        self.arrived_ms = arrived_ms
        # Not a list: small parts would take a multiple of their bytes.
        self.received = bytearray()
        self.body_bytes = 0
        self.started = False
        self.ended = False
        self.on_disconnect: typing.Callable[[], None] = _do_nothing
        # Called with True when the caller reads too slowly, False when it has
        # caught up.
        self.on_congested: typing.Callable[[bool], None] = _ignore_congestion

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header.

        :param name: name in lower case
        :return: the value, None if the header is missing
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns how often a header occurs.

        :param name: name in lower case
        :return: number of header lines of this name
        """
        return sum(header_name == name for header_name, _value in self.headers)

    @property
    def body(self) -> bytes:
        """The complete body."""
        return bytes(self.received)

    def end(self) -> None:
        """Forgets what only an unfinished request needs.

        The request and its callbacks refer to each other, so that the body
        would otherwise stay until the garbage collector runs.
        """
        self.ended = True
        self.connection.budget.give_back(self.body_bytes)
        self.body_bytes = 0
        self.received.clear()
        self.on_disconnect = _do_nothing
        self.on_congested = _ignore_congestion

    def start(self, status: int, headers: list[Header]) -> None:
        """Sends the head of an answer.

        :param status: HTTP status
        :param headers: headers without those of the connection
        """
        self.started = True
        self.connection.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the answer's body.

        :param data: bytes to send
        """
        self.connection.send_data(self, data)

    def finish(self) -> None:
        """Ends the answer, which is complete."""
        if not self.ended:
            self.end()
            self.connection.send_end(self)

    def respond(
        self, status: int, headers: list[Header], body: bytes = b""
    ) -> None:
        """Sends a complete answer.

        :param status: HTTP status
        :param headers: headers without those of the connection and the length
        :param body: the complete body
        """
        framing = answer_end.framing(self.method, status, headers)
        if framing is answer_end.Framing.NO_BODY:
            self.start(status, headers)
            self.finish()
            return
        length = (b"content-length", b"%d" % len(body))
        self.start(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def notice_close(self) -> bool:
        """Finds out whether the caller has closed the connection.

        While the process is busy, that is read late. It is handled here if it
        has arrived.

        :return: whether the request has ended, now or before
        """
        if not self.ended and self.connection.has_arrived_close():
            self.disconnect()
        return self.ended

    @property
    def unsent_bytes(self) -> int:
        """Bytes of its connection that its caller's system hasn't taken."""
        return immediate_write.unsent_bytes(self.connection.transport)

    def disconnect(self) -> None:
        """Tells the gateway that the caller has left."""
        on_disconnect = self.on_disconnect
        self.end()
        on_disconnect()

    def abort(self) -> None:
        """Closes the connection so that the answer is seen as incomplete."""
        if not self.ended:
            self.end()
            self.connection.abort()


def _do_nothing() -> None:
    pass


def _ignore_congestion(_congested: bool) -> None:
    pass


def _ignore_unread(_count: int) -> None:
    pass


@dataclasses.dataclass(frozen=True)
class ConnectionCallbacks:
    """Functions of the gateway that a connection calls.

    :param on_request: called with a complete request
    :param on_refused: called when a request that can't be read was refused
    :param limits: returns the limits that are in force
    :param closing: returns whether connections are closed after their answer
    :param on_left_unread: called with the number of bytes that a caller has
        sent and that are not read any more, as its connection is closed so
    """

    on_request: typing.Callable[[Exchange], None]
    on_refused: typing.Callable[[Refusal], None]
    limits: typing.Callable[[], model.CallerLimits]
    closing: typing.Callable[[], bool]
    on_left_unread: typing.Callable[[int], None] = _ignore_unread


class HttpConnection(protocol.Protocol):
    """One connection of a caller.

    :param callbacks: functions of the gateway
    :param clock: source of the time
    :param connections: all open connections; this one adds and removes itself
    :param budget: bytes of bodies that all connections hold
    """

    def __init__(
        self,
        callbacks: ConnectionCallbacks,
        clock: clocks.Clock,
        connections: "set[HttpConnection]",
        budget: BodyBudget,
    ) -> None:
        self.callbacks = callbacks
        self.budget = budget
        self.clock = clock
        self.connections = connections
        self.exchange: Exchange | None = None
        # The last request, if its answer has ended and was not sent at once.
        self.answered: Exchange | None = None
        # Whether the complete request was passed to the gateway.
        self.handed_over = False
        self.open = False
        # Whether it closes once all that was written has been sent.
        self.is_closing = False
        # Whether the transport tells when the caller reads too slowly.
        self.registered = False
        # Whether more was written than the caller has read.
        self.congested = False
        # With more than this unsent, the gateway reads no more of an answer.
        self.max_unsent_bytes = MAX_UNSENT_BYTES
        # Whether answers are read to their ends, before a stop.
        self.reads_ahead = False
        # Whether no more is read of the caller.
        self.paused = False
        # Whether events of the parser are being handled.
        self.is_reading = False
        self.read_bytes = read_size.FIRST_BYTES
        # Parts of requests that the last read has completed.
        self.read_parts = 0
        self.last_active_ms = clock.monotonic_ms()
        self.head_started_ms: int | None = None
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=callbacks.limits().header_bytes,
        )

    def connectionMade(self) -> None:
        """Registers the connection."""
        self.open = True
        self.connections.add(self)
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.bufferSize = self.read_bytes
        transport.registerProducer(self, True)
        self.registered = True

    def pauseProducing(self) -> None:
        """Handles that the caller reads more slowly than it is answered."""
        self.congested = True
        if self.exchange is not None:
            self.exchange.on_congested(True)

    def resumeProducing(self) -> None:
        """Handles that the caller has read what was written."""
        self.congested = False
        if self.exchange is not None:
            self.exchange.on_congested(False)
        self.read_on()

    def stopProducing(self) -> None:
        """Does nothing: :meth:`connectionLost` tells the gateway."""

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Notifies the gateway that the caller has disconnected.

        :param reason: twisted's reason
        """
        self.open = False
        self.connections.discard(self)
        exchange = self.exchange
        self.exchange = None
        if exchange is not None and not exchange.ended:
            exchange.disconnect()

    def dataReceived(self, data: bytes) -> None:
        """Parses a part of a request.

        :param data: bytes from the caller
        """
        self.last_active_ms = self.clock.monotonic_ms()
        if self.exchange is None and self.head_started_ms is None:
            self.head_started_ms = self.last_active_ms
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as problem:
            self.refuse(problem.error_status_hint, "malformed")
        self.read_parts = 0
        self.read_on()
        self.read_bytes = read_size.next_bytes(
            self.read_bytes, len(data), self.read_parts, MAX_UNSENT_BYTES
        )
        self.set_buffer_size()

    def set_buffer_size(self) -> None:
        """Sets how many bytes are read at once, or may be unsent.

        The transport has one number for both.
        """
        size = self.max_unsent_bytes if self.handed_over else self.read_bytes
        typing.cast(typing.Any, self.transport).bufferSize = size

    def bound_unsent(self, most_bytes: int) -> None:
        """Bounds how much of the answer may be unsent from now on.

        Nothing changes once answers are read ahead of a stop.

        :param most_bytes: bytes
        """
        if not self.reads_ahead and most_bytes != self.max_unsent_bytes:
            self.max_unsent_bytes = most_bytes
            self.set_buffer_size()

    def read_ahead(self, max_unsent_bytes: int) -> None:
        """Lets more of an answer be read than its caller takes.

        :param max_unsent_bytes: how much of it may be unsent
        """
        self.reads_ahead = True
        self.max_unsent_bytes = max(MAX_UNSENT_BYTES, max_unsent_bytes)
        self.set_buffer_size()
        if self.congested and self.exchange is not None:
            self.exchange.on_congested(False)

    def read_on(self) -> None:
        """Handles what has arrived, and reads more if there is room for it.

        An answer that is given at once ends while its request is being
        handled: the next request is handled after it, and not within it.
        """
        if self.is_reading:
            return
        self.is_reading = True
        try:
            self.read()
        except h11.RemoteProtocolError as problem:
            self.refuse(problem.error_status_hint, "malformed")
        finally:
            self.is_reading = False
        self.limit_unread()

    def limit_unread(self) -> None:
        """Stops reading while too much waits behind a request.

        The parser keeps all that arrives behind a complete request, without a
        bound of its own.
        """
        if not self.open or self.is_closing:
            return
        unread = len(self.parser.trailing_data[0])
        waits = self.handed_over or self.congested
        paused = waits and unread > MAX_UNREAD_BYTES
        if paused == self.paused:
            return
        self.paused = paused
        transport = typing.cast(typing.Any, self.transport)
        if paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def read(self) -> None:
        """Handles the events that the parser has completed.

        No further request is begun while earlier answers are unread.

        :raises h11.RemoteProtocolError: if the request is malformed
        """
        while self.open and not (self.congested and self.exchange is None):
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self.read_parts += 1
            if isinstance(event, h11.Request):
                self.head_started_ms = None
                now_ms = self.clock.monotonic_ms()
                self.exchange = Exchange(self, event, now_ms)
                self.handed_over = False
                if self.parser.they_are_waiting_for_100_continue:
                    self.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif isinstance(event, h11.Data):
                self.receive_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                exchange = self.exchange
                if exchange is not None:
                    self.handed_over = True
                    self.set_buffer_size()
                    self.callbacks.on_request(exchange)
            elif isinstance(event, h11.ConnectionClosed):
                return

    def receive_body(self, data: bytes) -> None:
        """Appends to the request's body.

        :param data: received bytes
        """
        exchange = self.exchange
        if exchange is None or exchange.ended:
            return
        exchange.received += data
        exchange.body_bytes += len(data)
        may_hold = self.budget.take(len(data))
        if exchange.body_bytes > self.callbacks.limits().body_bytes:
            self.refuse(413, "body_too_large")
        elif not may_hold:
            self.refuse(503, "too_many_bytes")

    def refuse(self, status: int, reason: str) -> None:
        """Refuses a request that can't be read, and closes the connection.

        :param status: HTTP status
        :param reason: short name of the error
        """
        exchange = self.exchange
        answering = exchange is not None and exchange.started
        handed_over = exchange is not None and self.handed_over
        if not self.open:
            return
        if answering or handed_over:
            # Malformed bytes after a valid request must not break its answer.
            return
        self.callbacks.on_refused(Refusal(status, reason))
        if exchange is not None:
            exchange.end()
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if status == SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", RETRY_AFTER_S))
        head = h11.Response(status_code=status, headers=headers)
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.send(head)
            self.send(h11.EndOfMessage())
        self.close()

    def send(self, event: typing.Any) -> None:
        """Writes one protocol event.

        :param event: an event of ``h11``
        """
        data = self.parser.send(event)
        if data and self.transport is not None:
            immediate_write.write(self.transport, data)

    def send_head(
        self, exchange: Exchange, status: int, headers: list[Header]
    ) -> None:
        """Writes the head of an answer.

        :param exchange: the request that is answered
        :param status: HTTP status
        :param headers: headers without those of the connection
        """
        if not self.is_current(exchange):
            return
        extra = [(b"connection", b"close")] if self.must_close() else []
        self.send(h11.Response(status_code=status, headers=[*headers, *extra]))

    def must_close(self) -> bool:
        """Returns whether the connection is closed after this answer.

        Requests that were read behind the current one are answered first.
        """
        return self.callbacks.closing() and not self.parser.trailing_data[0]

    def send_data(self, exchange: Exchange, data: bytes) -> None:
        """Writes a part of an answer's body.

        :param exchange: the request that is answered
        :param data: bytes to write
        """
        if self.is_current(exchange):
            self.last_active_ms = self.clock.monotonic_ms()
            self.send(h11.Data(data=data))

    def send_end(self, exchange: Exchange) -> None:
        """Ends an answer and reads the next request.

        :param exchange: the request that was answered
        """
        if not self.is_current(exchange):
            return
        self.send(h11.EndOfMessage())
        self.answered = exchange if exchange.unsent_bytes else None
        self.exchange = None
        self.handed_over = False
        self.set_buffer_size()
        self.last_active_ms = self.clock.monotonic_ms()
        if self.parser.our_state is not h11.DONE:
            self.close()
            return
        if self.parser.their_state is not h11.DONE:
            self.close()
            return
        self.parser.start_next_cycle()
        if self.parser.trailing_data[0]:
            self.head_started_ms = self.last_active_ms
        self.read_on()

    def is_current(self, exchange: Exchange) -> bool:
        """Returns whether an exchange can still be answered.

        :param exchange: a request of this connection
        :return: whether it is the current one and the connection is open
        """
        return self.open and self.exchange is exchange

    def close(self) -> None:
        """Closes the connection once all written data has been sent."""
        if not self.open or self.transport is None:
            return
        if self.callbacks.closing() and not self.is_closing:
            unread = self.unread_bytes()
            if unread:
                self.callbacks.on_left_unread(unread)
        self.is_closing = True
        self.unregister()
        self.transport.loseConnection()

    def unread_bytes(self) -> int:
        """Returns how much of its caller has arrived and was not handled."""
        arrived = unread_input.arrived_bytes(self.transport)
        return len(self.parser.trailing_data[0]) + arrived

    def unregister(self) -> None:
        """Lets the transport close: it waits for a registered producer."""
        if self.registered:
            self.registered = False
            typing.cast(typing.Any, self.transport).unregisterProducer()

    def abort(self) -> None:
        """Closes the connection so that the current answer is incomplete.

        Data that was written still arrives: the framing shows that the rest
        is missing. Only for an HTTP/1.0 client, for which the end of the
        connection ends the answer, the connection is reset.
        """
        if not self.open or self.transport is None:
            return
        self.is_closing = True
        self.unregister()
        if (self.parser.their_http_version or b"1.0") < b"1.1":
            typing.cast(typing.Any, self.transport).abortConnection()
        else:
            self.transport.loseConnection()

    def is_idle(self) -> bool:
        """Returns whether no request is in progress.

        One is also if a part of it has arrived that isn't read yet.
        """
        if self.exchange is not None or self.head_started_ms is not None:
            return False
        return not (self.open and self.peek())

    def has_arrived_close(self) -> bool:
        """Returns whether the caller has closed, also if that isn't read yet.

        Behind bytes that aren't read either, it isn't seen.
        """
        return not self.open or self.peek() == b""

    def peek(self) -> bytes | None:
        """Returns the next byte that has arrived and isn't read yet.

        :return: the byte; empty if the caller has closed; None if nothing has
            arrived, or that can't be told
        """
        find_socket = getattr(self.transport, "getHandle", None)
        handle = find_socket() if find_socket is not None else None
        if not isinstance(handle, socket.socket):
            return None
        try:
            return handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except ConnectionError:
            return b""
        except OSError:
            return None

    def check_timeouts(self, now_ms: int) -> None:
        """Closes the connection if its caller is too slow or idle.

        :param now_ms: the current time
        """
        limits = self.callbacks.limits()
        if self.handed_over:
            return
        if self.exchange is not None:
            slow = now_ms - self.last_active_ms > limits.idle_timeout_ms
            if slow:
                self.refuse(408, "body_timeout")
        elif self.head_started_ms is not None:
            if now_ms - self.head_started_ms > limits.header_timeout_ms:
                self.refuse(408, "header_timeout")
        elif now_ms - self.last_active_ms > limits.idle_timeout_ms:
            self.close()


class HttpServerFactory(protocol.ServerFactory):
    """Creates connections of callers and closes them when they are idle.

    :param callbacks: functions of the gateway
    :param clock: source of the time
    :param max_held_bytes: bytes of requests' bodies that may be held at once
    """

    noisy = False

    def __init__(
        self,
        callbacks: ConnectionCallbacks,
        clock: clocks.Clock,
        max_held_bytes: int,
    ) -> None:
        self.callbacks = callbacks
        self.clock = clock
        self.budget = BodyBudget(max_held_bytes)
        self.connections: set[HttpConnection] = set()

    def buildProtocol(self, addr: object) -> HttpConnection:
        """Returns the protocol of a new connection.

        :param addr: address of the caller
        :return: the protocol
        """
        return HttpConnection(
            self.callbacks, self.clock, self.connections, self.budget
        )

    def check_timeouts(self) -> None:
        """Closes connections whose callers are too slow or idle."""
        now_ms = self.clock.monotonic_ms()
        for connection in tuple(self.connections):
            connection.check_timeouts(now_ms)
        self.bound_unsent()

    def bound_unsent(self) -> None:
        """Bounds what all slow callers together have unsent."""
        unsent = {
            connection: immediate_write.unsent_bytes(connection.transport)
            for connection in self.connections
            if connection.handed_over
        }
        most_bytes = unsent_bound.most_unsent_bytes(
            self.budget.free_bytes, unsent.values(), MAX_UNSENT_BYTES
        )
        for connection in unsent:
            connection.bound_unsent(most_bytes)

    def close_idle(self) -> None:
        """Closes all connections on which no request is in progress."""
        for connection in tuple(self.connections):
            if connection.is_idle():
                connection.close()

    def count_closing(self) -> int:
        """Returns how many connections close once all is sent."""
        return sum(connection.is_closing for connection in self.connections)

    def read_ahead(self) -> None:
        """Lets answers be read to their ends though callers are slow.

        They share the memory for bodies, which new requests don't need.
        """
        answered = [
            connection
            for connection in self.connections
            if connection.handed_over
        ]
        for connection in answered:
            connection.read_ahead(self.budget.free_bytes // len(answered))

    def close_all(self) -> bool:
        """Closes all connections on which no request is in progress.

        :return: whether none is open any more, so that all was sent
        """
        self.close_idle()
        return not self.connections
