"""Manages all links of one daemon: listening, dialling and heartbeats.

A hub keeps one link to each peer. It dials the configured addresses, with
exponential backoff, and accepts connections from other peers. A peer is
identified by its instance name; a new incarnation of an instance replaces
the old one. A link on which nothing was received for several heartbeat
intervals is closed, which also detects half-open connections.
"""

import dataclasses
import random
import typing

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.links import codec
from godwitloft.links import link as links
from godwitloft.links import tls
from godwitloft.links.generated.messages import ttypes

HEARTBEAT_INTERVAL_MS = 1_000
SILENCE_TIMEOUT_MS = 3_500
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 5_000
CONNECT_TIMEOUT_S = 2


@dataclasses.dataclass(frozen=True)
class HubHandlers:
    """Callbacks of a hub into its daemon; peers are named by instance.

    :param peer_up: called when a link to a peer is up
    :param peer_down: called with the reason when the link is gone
    :param received: called with ``(instance, field name, body)``
    :param writable: called with ``(instance, whether more may be written)``
    :param heartbeat: returns the heartbeat to send now
    :param accepts: whether a peer with this hello may connect
    """

    peer_up: typing.Callable[[ttypes.Hello], None]
    peer_down: typing.Callable[[ttypes.Hello, str], None]
    received: typing.Callable[[str, str, codec.Body], None]
    writable: typing.Callable[[str, bool], None]
    heartbeat: typing.Callable[[], ttypes.Heartbeat]
    accepts: typing.Callable[[ttypes.Hello], bool]


@dataclasses.dataclass(frozen=True)
class Address:
    """The address that a peer listens on.

    :param instance: name of the peer
    :param host: IP number
    :param port: TCP port
    """

    instance: str
    host: str
    port: int


class Hub:
    """Owns the links of one daemon.

    :param reactor: the twisted reactor
    :param clock: source of the time
    :param hello: returns the current hello message of this daemon
    :param handlers: callbacks into the daemon
    :param rng: adds jitter to the retries
    :param contexts: for mutual TLS, or None for plain TCP
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        hello: typing.Callable[[], ttypes.Hello],
        handlers: HubHandlers,
        rng: random.Random,
        contexts: tls.Contexts | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.hello = hello
        self.handlers = handlers
        self.rng = rng
        self.contexts = contexts
        self.peers: dict[str, links.Link] = {}
        self.addresses: dict[str, Address] = {}
        self.dialling: set[str] = set()
        self.retry_ms: dict[str, int] = {}
        self.open_links: set[links.Link] = set()
        self.stopped = False
        self.port: interfaces.IListeningPort | None = None
        self.heartbeats = task.LoopingCall(self.send_heartbeats)
        self.heartbeats.clock = reactor
        self.bytes_sent = 0
        self.control_bytes_sent = 0

    def start(self, host: str, port: int) -> int:
        """Starts listening for peers and sending heartbeats.

        :param host: IP number to listen on
        :param port: TCP port, 0 for any
        :return: the port in use
        """
        factory = protocol.Factory.forProtocol(self.build_link)
        if self.contexts is None:
            self.port = self.reactor.listenTCP(port, factory, interface=host)
        else:
            self.port = self.reactor.listenSSL(
                port, factory, self.contexts.server, interface=host
            )
        self.heartbeats.start(HEARTBEAT_INTERVAL_MS / clocks.MS_PER_S, False)
        return self.port.getHost().port  # type: ignore[union-attr]

    def stop(self) -> None:
        """Closes every link and stops listening."""
        self.stopped = True
        if self.heartbeats.running:
            self.heartbeats.stop()
        if self.port is not None:
            self.port.stopListening()
        for link in tuple(self.open_links):
            link.transport.loseConnection()

    def build_link(self) -> links.Link:
        """Returns the protocol for a new connection.

        :return: a link that reports to this hub
        """
        return links.Link(
            links.Handlers(
                on_hello=self.on_hello,
                on_message=self.on_message,
                on_lost=self.on_lost,
                on_writable=self.on_writable,
            ),
            self.hello(),
        )

    def set_addresses(self, addresses: typing.Iterable[Address]) -> None:
        """Sets which peers to dial; other links stay open.

        :param addresses: all peers to keep a link to
        """
        self.addresses = {address.instance: address for address in addresses}
        for instance in self.addresses:
            self.dial(instance)

    def dial(self, instance: str) -> None:
        """Connects to a peer unless a link or an attempt exists.

        :param instance: name of the peer
        """
        address = self.addresses.get(instance)
        if address is None or self.stopped:
            return
        if instance in self.peers or instance in self.dialling:
            return
        self.dialling.add(instance)
        endpoint = self.endpoint(address)
        factory = protocol.Factory.forProtocol(self.build_link)
        attempt = endpoint.connect(factory)
        attempt.addCallbacks(
            lambda link: self.on_dialled(instance, link),
            lambda _failure: self.retry(instance),
        )

    def endpoint(self, address: Address) -> typing.Any:
        """Returns the client endpoint for an address.

        :param address: where the peer listens
        :return: a twisted client endpoint
        """
        if self.contexts is None:
            return endpoints.TCP4ClientEndpoint(
                self.reactor, address.host, address.port, CONNECT_TIMEOUT_S
            )
        return endpoints.SSL4ClientEndpoint(
            self.reactor,
            address.host,
            address.port,
            self.contexts.client,
            CONNECT_TIMEOUT_S,
        )

    def on_dialled(self, instance: str, link: links.Link) -> None:
        """Records which peer a new connection was dialled for.

        :param instance: name of the peer in its address
        :param link: the connection
        """
        link.dialled_instance = instance  # type: ignore[attr-defined]
        link.last_received_ms = self.clock.monotonic_ms()
        self.open_links.add(link)

    def retry(self, instance: str) -> None:
        """Dials again after an exponentially growing delay.

        :param instance: name of the peer
        """
        self.dialling.discard(instance)
        if instance not in self.addresses or self.stopped:
            self.retry_ms.pop(instance, None)
            return
        pause_ms = self.retry_ms.get(instance, FIRST_RETRY_MS)
        self.retry_ms[instance] = min(2 * pause_ms, MAX_RETRY_MS)
        delay_ms = self.rng.uniform(0.5, 1.0) * pause_ms
        self.reactor.callLater(delay_ms / clocks.MS_PER_S, self.dial, instance)

    def on_hello(self, link: links.Link, hello: ttypes.Hello) -> bool:
        """Registers a link after the peer's hello.

        :param link: the link
        :param hello: hello message of the peer
        :return: whether the link is accepted
        """
        link.last_received_ms = self.clock.monotonic_ms()
        self.open_links.add(link)
        certificate_name = tls.peer_name(link.transport)
        name_matches = (
            certificate_name is None or certificate_name == hello.instance
        )
        if (
            self.stopped
            or not name_matches
            or not self.handlers.accepts(hello)
        ):
            events.log(events.LINK_REFUSED, peer=hello.instance)
            return False
        old = self.peers.get(hello.instance)
        if old is not None:
            self.replace(old)
        self.peers[hello.instance] = link
        self.dialling.discard(hello.instance)
        self.retry_ms.pop(hello.instance, None)
        events.log(events.LINK_UP, peer=hello.instance, role=hello.role)
        self.handlers.peer_up(hello)
        return True

    def replace(self, old: links.Link) -> None:
        """Closes the older link of a peer that has connected again.

        :param old: the link used so far
        """
        assert old.peer is not None
        del self.peers[old.peer.instance]
        old.close("replaced by a newer link")
        self.handlers.peer_down(old.peer, "replaced by a newer link")

    def on_message(
        self, link: links.Link, name: str, body: codec.Body
    ) -> None:
        """Passes a message to the daemon unless its link was replaced.

        :param link: the link it arrived on
        :param name: name of the message
        :param body: its body
        """
        link.last_received_ms = self.clock.monotonic_ms()
        peer = link.peer
        if peer is None or self.peers.get(peer.instance) is not link:
            return
        try:
            self.handlers.received(peer.instance, name, body)
        except Exception as error:
            # One message that can't be handled must not close the link: every
            # other request on it would be lost too.
            events.log_error(
                events.INTERNAL_ERROR, error, peer=peer.instance, message=name
            )

    def on_lost(self, link: links.Link, reason: str) -> None:
        """Removes a closed link, notifies the daemon and dials again.

        :param link: the closed link
        :param reason: for the log
        """
        self.open_links.discard(link)
        peer = link.peer
        if peer is not None and self.peers.get(peer.instance) is link:
            del self.peers[peer.instance]
            if not self.stopped:
                events.log(events.LINK_DOWN, peer=peer.instance, reason=reason)
            self.handlers.peer_down(peer, reason)
        if peer is None and not self.stopped:
            events.log(events.LINK_FAILED, reason=reason)
        instance = getattr(link, "dialled_instance", None)
        if instance is not None:
            self.retry(instance)

    def on_writable(self, link: links.Link, can_write: bool) -> None:
        """Reports that a link's send buffer is full or has space again.

        :param link: the link
        :param can_write: whether more may be written
        """
        if link.peer is not None:
            self.handlers.writable(link.peer.instance, can_write)

    def send(self, instance: str, **field: codec.Body) -> bool:
        """Sends one message to a peer.

        :param instance: name of the peer
        :param field: exactly one field of the ``Message`` union
        :return: False if there is no link to the peer
        """
        return self.send_frame(instance, codec.encode(**field))

    def send_frame(self, instance: str, frame: bytes) -> bool:
        """Sends a message that is already encoded.

        :param instance: name of the peer
        :param frame: result of :func:`codec.encode`
        :return: False when there is no link to the peer
        """
        link = self.peers.get(instance)
        if link is None:
            return False
        self.bytes_sent += len(frame)
        link.send_frame(frame)
        return True

    def can_write(self, instance: str) -> bool:
        """Returns whether a peer's link accepts more data now.

        :param instance: name of the peer
        :return: False if its send buffer is full or there is no link
        """
        link = self.peers.get(instance)
        return link is not None and link.can_write

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every peer and closes timed-out links."""
        frame = codec.encode(heartbeat=self.handlers.heartbeat())
        now_ms = self.clock.monotonic_ms()
        for link in tuple(self.open_links):
            if now_ms - link.last_received_ms > SILENCE_TIMEOUT_MS:
                link.close(f"nothing received for {SILENCE_TIMEOUT_MS} ms")
            elif link.peer is not None:
                self.control_bytes_sent += len(frame)
                link.send_frame(frame)
        for instance in tuple(self.addresses):
            self.dial(instance)
