"""Measures messages, connections and heartbeats on loopback links."""

import contextlib
import gc
import random
import tracemalloc
import typing

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from bench import slope_fit
from bench import slope_requests
from godwitloft import clock as clocks
from godwitloft.links import codec
from godwitloft.links import hub as hubs
from godwitloft.links import link as links
from godwitloft.links.generated.messages import ttypes

# The type of the global reactor lacks methods that are used here.
reactor: typing.Any = default_reactor

MESSAGE_COUNTS = (1000, 2000, 4000)
CONNECTION_COUNTS = (50, 100, 200)
HEARTBEAT_ROUNDS = 10
ROUNDS = 5
POLL_S = 0.005
CONNECTIONS_LIMIT_S = 30


def heartbeat() -> ttypes.Heartbeat:
    """Returns an agent's heartbeat.

    :return: the message
    """
    return ttypes.Heartbeat(1, 12, 4, 6.0, 21.0, 2, False, 1)


def messages() -> dict[str, codec.Body]:
    """Returns one message of each kind that is measured.

    :return: by the field name of the union
    """
    return {
        "heartbeat": heartbeat(),
        "bid": slope_requests.make_bid(1),
        "withdraw": ttypes.Withdraw("entry-1-1"),
        "dispatch": slope_requests.make_dispatch("entry-1-1"),
        "chunks": slope_requests.chunks_message("entry-1-1", 0),
    }


def prepare_encode(
    name: str, body: codec.Body
) -> typing.Callable[[int], typing.Callable[[], object]]:
    """Returns the preparation of an encoding measurement.

    :param name: field name of the message
    :param body: the message
    :return: function that takes a count and returns the call to measure
    """
    field = {name: body}
    return lambda count: lambda: [codec.encode(**field) for _ in range(count)]


def prepare_decode(
    name: str, body: codec.Body
) -> typing.Callable[[int], typing.Callable[[], object]]:
    """Returns the preparation of a decoding measurement.

    :param name: field name of the message
    :param body: the message
    :return: function that takes a count and returns the call to measure
    """
    frame = codec.encode(**{name: body})
    return lambda count: lambda: [codec.decode(frame) for _ in range(count)]


def measure_codec() -> list[slope_fit.Slope]:
    """Measures encoding and decoding.

    :return: two slopes for each kind of message
    """
    slopes = []
    for name, body in messages().items():
        for verb, prepare in (
            ("encode", prepare_encode),
            ("decode", prepare_decode),
        ):
            slopes.append(
                slope_fit.time_slope(
                    f"{verb}_{name}",
                    "message",
                    MESSAGE_COUNTS,
                    prepare(name, body),
                )
            )
    return slopes


def frame_bytes() -> dict[str, int]:
    """Returns the size of each kind of message on a link.

    :return: bytes by field name, with the 4-byte length prefix
    """
    return {
        name: len(codec.encode(**{name: body})) + 4
        for name, body in messages().items()
    }


class LinkFleet:
    """One hub, and the remote ends of many links to it.

    The remote ends are links without a hub, so that each connection accounts
    for two links and the records of one peer in the hub.
    """

    def __init__(self) -> None:
        clock = clocks.system_clock()
        self.received = 0
        self.remote_links: list[links.Link] = []
        self.hub = hubs.Hub(
            reactor,
            clock,
            lambda: slope_requests.hello("entry", "entry"),
            hubs.HubHandlers(
                peer_up=lambda _hello: None,
                peer_down=lambda _hello, _reason: None,
                received=lambda _peer, _name, _body: self.count_received(),
                writable=lambda _peer, _can_write: None,
                heartbeat=heartbeat,
                accepts=lambda _hello: True,
            ),
            random.Random(1),
        )
        self.port = self.hub.start("127.0.0.1", 0)
        # Heartbeats are sent explicitly, so that they can be counted.
        self.hub.heartbeats.stop()
        self.handlers = links.Handlers(
            on_hello=lambda _link, _hello: True,
            on_message=lambda _link, _name, _body: self.count_received(),
            on_lost=lambda _link, _reason: None,
            on_writable=lambda _link, _can_write: None,
        )

    def count_received(self) -> None:
        """Counts a message that arrived at either end."""
        self.received += 1

    def connect(self) -> None:
        """Opens one more link."""
        name = f"agent-{len(self.remote_links)}"
        link = links.Link(self.handlers, slope_requests.hello("agent", name))
        self.remote_links.append(link)
        creator = protocol.ClientCreator(reactor, lambda: link)
        creator.connectTCP("127.0.0.1", self.port)

    async def grow(self, count: int) -> None:
        """Opens links until there are a given number.

        :param count: the number of links
        """
        while len(self.remote_links) < count:
            self.connect()
        await wait_until(lambda: len(self.hub.peers) == count)
        await wait_until(lambda: all(link.peer for link in self.remote_links))

    async def exchange_heartbeats(self) -> None:
        """Sends a heartbeat both ways on every link and waits for all."""
        expected = self.received + 2 * len(self.remote_links)
        self.hub.send_heartbeats()
        frame = codec.encode(heartbeat=heartbeat())
        for link in self.remote_links:
            link.send_frame(frame)
        await wait_until(lambda: self.received == expected)

    def stop(self) -> None:
        """Closes everything."""
        self.hub.stop()
        for link in self.remote_links:
            link.transport.abortConnection()


async def wait_until(is_done: typing.Callable[[], bool]) -> None:
    """Polls a condition until it is true.

    :param is_done: the condition
    :raises TimeoutError: when it is not true within CONNECTIONS_LIMIT_S
    """
    for _ in range(round(CONNECTIONS_LIMIT_S / POLL_S)):
        if is_done():
            return
        await task.deferLater(reactor, POLL_S)
    raise TimeoutError(
        f"the links were not ready after {CONNECTIONS_LIMIT_S} s"
    )


async def measure_connections() -> list[slope_fit.Slope]:
    """Measures connections and heartbeats.

    :return: the slopes
    """
    return [
        slope_fit.fit(
            "connection",
            "connection, both ends",
            "bytes",
            await measure_while_growing(connection_bytes),
        ),
        slope_fit.fit(
            "heartbeat",
            f"connection, {HEARTBEAT_ROUNDS} heartbeats each way",
            "us",
            await measure_while_growing(heartbeat_us),
        ),
    ]


async def measure_while_growing(
    measure_one: typing.Callable[[LinkFleet], typing.Awaitable[float]],
) -> list[tuple[int, float]]:
    """Measures something at each number of connections.

    :param measure_one: measures it with the open links
    :return: pairs of the number of connections and the result
    """
    fleet = LinkFleet()
    points = []
    try:
        for count in CONNECTION_COUNTS:
            with trace_allocations(measure_one is connection_bytes):
                await fleet.grow(count)
                await fleet.exchange_heartbeats()
                points.append((count, await measure_one(fleet)))
    finally:
        fleet.stop()
    return points


@contextlib.contextmanager
def trace_allocations(is_enabled: bool) -> typing.Iterator[None]:
    """Traces allocations from the first use on, if enabled.

    :param is_enabled: false where processor time is measured, since tracing
        increases it
    """
    if is_enabled:
        tracemalloc.start()
    else:
        tracemalloc.stop()
    yield


async def connection_bytes(_fleet: LinkFleet) -> float:
    """Measures the memory that Python's allocator holds.

    :param _fleet: the links
    :return: bytes, without the buffers of the kernel
    """
    gc.collect()
    return float(tracemalloc.get_traced_memory()[0])


async def heartbeat_us(fleet: LinkFleet) -> float:
    """Measures the processor time of heartbeats.

    :param fleet: the links
    :return: microseconds for both ends, the minimum of the rounds
    """
    rounds = []
    for _ in range(ROUNDS):
        started_ns = slope_fit.now_ns()
        for _ in range(HEARTBEAT_ROUNDS):
            await fleet.exchange_heartbeats()
        rounds.append(slope_fit.now_ns() - started_ns)
    return min(rounds) / slope_fit.NS_PER_US


def measure() -> list[slope_fit.Slope]:
    """Measures all slopes of this module, only once per process.

    It runs the reactor, which cannot be restarted.

    :return: the slopes
    """
    slopes = measure_codec()

    def main(_reactor: typing.Any) -> defer.Deferred[None]:
        async def run() -> None:
            slopes.extend(await measure_connections())

        return defer.ensureDeferred(run())

    with contextlib.suppress(SystemExit):
        task.react(main, _reactor=reactor)
    if len(slopes) == 2 * len(messages()):
        raise RuntimeError("the links could not be measured")
    return slopes
