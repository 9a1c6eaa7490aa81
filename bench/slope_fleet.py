"""Measures the cost of configuration propagation and of claims."""

import collections
import dataclasses
import functools
import json
import random
import typing

from twisted.internet import defer
from twisted.internet import task

from bench import slope_fit
from bench import slope_objects
from godwitloft import clock as clocks
from godwitloft.coordination import claims
from godwitloft.coordination import claims_row
from godwitloft.coordination import feed
from godwitloft.coordination import publish
from godwitloft.coordination import write_budget
from godwitloft.links import codec
from godwitloft.objects import canonical
from godwitloft.store import memory
from godwitloft.store import port

FEED_COUNTS = (50, 100, 200, 400)
LINKS_PER_DAEMON = 10
TEAMS = 200
LINK_DELAY_S = 0.0015
STEP_S = 0.0015
PROPAGATION_TIMEOUT_S = 30
CLAIM_COUNTS = (100, 200, 400)
LARGE_ANSWER = b"x" * 90_000


class Fleet:
    """Feeds on a simulated clock, each linked to some others at random.

    :param count: number of daemons
    """

    def __init__(self, count: int) -> None:
        self.reactor = task.Clock()
        self.rng = random.Random(1)
        self.in_transit: collections.deque[tuple[float, int, str, bytes]] = (
            collections.deque()
        )
        self.handled_ns = 0
        self.sent_bytes = 0
        self.sent_count = 0
        store = memory.Store(
            clocks.reactor_clock(self.reactor),
            memory.StoreSettings(0, 0, 0),
        )
        self.platform = memory.platform(store, self.reactor)
        self.feeds = [self.make_feed(number, count) for number in range(count)]
        for number in range(count):
            for other in self.rng.sample(range(count), LINKS_PER_DAEMON // 2):
                if other != number:
                    self.link(number, other)
        for daemon_feed in self.feeds:
            daemon_feed.start()
        self.reactor.advance(0)

    def make_feed(self, number: int, count: int) -> feed.Feed:
        """Returns the feed of one daemon.

        :param number: of the daemon
        :param count: daemons of the fleet
        :return: the feed
        """
        return feed.Feed(
            self.platform,
            self.reactor,
            feed.FeedCallbacks(
                send=functools.partial(self.send, number),
                apply=lambda _configuration: None,
                fleet_size=lambda: count,
            ),
            random.Random(number),
        )

    def link(self, number: int, other: int) -> None:
        """Links two daemons.

        :param number: of a daemon
        :param other: number of another
        """
        self.feeds[number].peer_up(str(other), 0)
        self.feeds[other].peer_up(str(number), 0)

    def send(self, sender: int, peer: str, name: str, body: object) -> None:
        """Queues a message, encoded as on a link.

        :param sender: number of a daemon
        :param peer: the receiver
        :param name: name of the message
        :param body: its body
        """
        frame = codec.encode(**{name: body})
        self.sent_count += 1
        self.sent_bytes += len(frame)
        due_s = self.reactor.seconds() + LINK_DELAY_S
        self.in_transit.append((due_s, sender, peer, frame))

    def advance(self) -> None:
        """Advances the clock by one step and delivers the messages due."""
        self.reactor.advance(STEP_S)
        now_s = self.reactor.seconds()
        while self.in_transit and self.in_transit[0][0] <= now_s:
            _due_s, sender, peer, frame = self.in_transit.popleft()
            self.deliver(sender, peer, frame)

    def deliver(self, sender: int, peer: str, frame: bytes) -> None:
        """Delivers a message and adds up the processor time of its handler.

        :param sender: number of a daemon
        :param peer: the receiver
        :param frame: the encoded message
        """
        name, body = codec.decode(frame)
        receiver = self.feeds[int(peer)]
        handlers: dict[str, typing.Callable[[str, typing.Any], None]] = {
            "generation_news": receiver.on_generation_news,
            "snapshot_wanted": receiver.on_snapshot_wanted,
            "snapshot": receiver.on_snapshot,
        }
        started_ns = slope_fit.now_ns()
        handlers[name](str(sender), body)
        self.handled_ns += slope_fit.now_ns() - started_ns

    def publish(self, generation: int) -> float:
        """Publishes a generation at one daemon and waits for all others.

        :param generation: its number
        :return: seconds of simulated time until it is in force everywhere
        :raises TimeoutError: when it does not reach all daemons in time
        """
        objects = slope_objects.make_objects(TEAMS)
        weighted = slope_objects.make_team(0, generation)
        changed = objects.__class__(
            objects.tiers,
            objects.services,
            (weighted, *objects.teams[1:]),
            objects.pools,
        )
        content = canonical.encode(changed)
        head = publish.Head(generation, canonical.hash_of(content))
        started_s = self.reactor.seconds()
        self.feeds[0].on_published(head, content)
        while any(
            daemon_feed.current.generation < generation
            for daemon_feed in self.feeds
        ):
            self.advance()
            if self.reactor.seconds() > started_s + PROPAGATION_TIMEOUT_S:
                raise TimeoutError("the generation did not reach all daemons")
        return self.reactor.seconds() - started_s


@dataclasses.dataclass(frozen=True)
class Propagation:
    """Cost of propagating one change to all daemons.

    :param duration_ms: simulated time
    :param messages: number of messages sent
    :param message_bytes: total size of the messages
    :param handled_us: processor time of all message handlers
    """

    duration_ms: float
    messages: int
    message_bytes: int
    handled_us: float


def propagate_once(count: int) -> Propagation:
    """Propagates a change of one team in a fleet that has all else.

    :param count: number of daemons
    :return: its cost
    """
    fleet = Fleet(count)
    fleet.publish(1)
    messages, size = fleet.sent_count, fleet.sent_bytes
    fleet.handled_ns = 0
    duration_ms = fleet.publish(2) * clocks.MS_PER_S
    return Propagation(
        duration_ms,
        fleet.sent_count - messages,
        fleet.sent_bytes - size,
        fleet.handled_ns / slope_fit.NS_PER_US,
    )


def claim_writes(count: int, body: bytes) -> tuple[int, float]:
    """Claims and finishes calls with idempotency keys.

    :param count: number of calls
    :param body: body of each answer
    :return: writes to the store, and microseconds of processor time
    """
    reactor = task.Clock()
    store = memory.Store(
        clocks.reactor_clock(reactor), memory.StoreSettings(0, 0, 0)
    )
    claim_store = claims.Claims(
        memory.platform(store, reactor),
        reactor,
        write_budget.WriteBudget(reactor, lambda: 1e9, 10**9),
        lambda *_names: defer.succeed(claims.Proof.UNKNOWN),
        random.Random(1),
    )

    def run() -> None:
        for number in range(count):
            defer.ensureDeferred(claim_one(claim_store, number, body))

    used_us = slope_fit.time_us(run)
    return store.write_count, used_us


async def claim_one(
    claim_store: claims.Claims, number: int, body: bytes
) -> None:
    """Looks a key up, claims it and records the answer.

    :param claim_store: the claims
    :param number: makes the key unique
    :param body: body of the answer
    """
    key = claims_row.row_key("team", "release-desk", f"key-{number}")
    row = claims_row.Row(
        f"entry-1-{number}",
        "f" * 32,
        claims_row.State.RUNNING,
        "entry-1",
        "agent-1",
        "agent-1-1",
    )
    assert await claim_store.look_up(key, row.fingerprint, 5000) == (
        claims.Proceed(0)
    )
    held_claim = await claim_store.claim(key, row, 0, 5000)
    assert isinstance(held_claim, claims.HeldClaim)
    answer = claims_row.Answer(
        claims_row.Outcome.COMPLETED, "", 200, "text/plain", body
    )
    assert await claim_store.finish(held_claim, answer)


def list_bytes(count: int) -> float:
    """Returns the size of an instance list as compact JSON.

    :param count: number of instances
    :return: bytes
    """
    rows = [
        dataclasses.asdict(
            port.Instance(
                name=f"agent-{number:05d}",
                role="agent",
                address="10.100.200.100",
                port=20_000,
                availability_zone="region-1-zone-1",
                pool="pool-10",
            )
        )
        for number in range(count)
    ]
    return float(len(json.dumps(rows, separators=(",", ":"))))


def measure() -> list[slope_fit.Slope]:
    """Measures all slopes of this module.

    :return: the slopes
    """
    propagations = [(count, propagate_once(count)) for count in FEED_COUNTS]
    small = [(count, claim_writes(count, b"ok")) for count in CLAIM_COUNTS]
    large = [
        (count, claim_writes(count, LARGE_ANSWER)) for count in CLAIM_COUNTS
    ]
    fit = slope_fit.fit
    return [
        fit(
            "feed_change",
            "daemon, one change",
            "us",
            [
                (count, propagation.handled_us)
                for count, propagation in propagations
            ],
        ),
        fit(
            "feed_messages",
            "daemon, one change",
            "messages",
            [
                (count, float(propagation.messages))
                for count, propagation in propagations
            ],
        ),
        fit(
            "feed_bytes",
            "daemon, one change",
            "bytes",
            [
                (count, float(propagation.message_bytes))
                for count, propagation in propagations
            ],
        ),
        fit(
            "feed_spread",
            "daemon",
            "ms",
            [
                (count, propagation.duration_ms)
                for count, propagation in propagations
            ],
        ),
        fit(
            "list_bytes",
            "instance on the platform's list",
            "bytes",
            [(count, list_bytes(count)) for count in FEED_COUNTS],
        ),
        fit(
            "claim_writes",
            "keyed call, small answer",
            "writes",
            [(count, float(writes)) for count, (writes, _) in small],
        ),
        fit(
            "claim_writes_large",
            "keyed call, large answer",
            "writes",
            [(count, float(writes)) for count, (writes, _) in large],
        ),
        fit(
            "claim",
            "keyed call, small answer",
            "us",
            [(count, used_us) for count, (_, used_us) in small],
        ),
    ]
