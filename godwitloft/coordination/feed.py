"""Each daemon's view of the configuration: it only goes up.

A daemon hears of a newer generation from its peers, or, now and then, from
the table, and fetches the snapshot from a peer that holds it, else from the
object store. Whatever comes late, twice, stale or damaged changes nothing.

The feed owns no sockets: its owner passes messages in and out.
"""

import collections
import dataclasses
import hashlib
import random
import typing

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.python import failure

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import errors
from godwitloft import events
from godwitloft.coordination import delta
from godwitloft.coordination import publish
from godwitloft.coordination import swap
from godwitloft.links.generated.messages import ttypes
from godwitloft.store import port

RECENT_DELTAS = 64
MAX_GENERATION_WAITERS = 10_000


class FeedError(errors.GodwitloftError):
    """A configuration could not be had."""


class GenerationTimeout(FeedError):
    """A required generation did not come in time."""


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A configuration that comes into force.

    :param generation: its number
    :param snapshot_hash: SHA-256 of the content, hexadecimal
    :param content: canonical JSON
    :param changes: what differs from the one applied before, or None when
        that isn't known
    """

    generation: int
    snapshot_hash: str
    content: bytes
    changes: tuple[delta.ObjectChange, ...] | None = None


EMPTY = Configuration(0, "", b"")


@dataclasses.dataclass(frozen=True)
class FeedSettings:
    """What an operator may tune.

    :param fleet_reads_per_s: how often the whole fleet may read the head
    :param shortest_poll_ms: between two reads of the head by one daemon
    :param peer_timeout_ms: how long a peer may take to send a snapshot
    :param peers_asked: peers to ask before the object store is
    :param fanout: peers that a daemon tells of a new generation at once
    :param wave_ms: wait before it tells as many again of those that have
        not told it in the meantime
    :param start_peers: peers whose generations a new daemon compares while
        the store is down
    :param first_backoff_ms: wait after a round of failed fetches
    :param longest_backoff_ms: upper bound of that wait
    """

    fleet_reads_per_s: float = 200
    shortest_poll_ms: int = 1000
    peer_timeout_ms: int = 500
    max_peers_asked: int = 3
    fanout: int = 8
    announce_interval_ms: int = 50
    start_quorum: int = 3
    first_backoff_ms: int = 100
    longest_backoff_ms: int = 5000


@dataclasses.dataclass(frozen=True)
class FeedCallbacks:
    """What the feed asks of the daemon that owns it.

    :param send: ``(peer, field of the link message, body)``; may drop it
    :param apply: brings a configuration into force; raises any error of
        the project when it can't, and the one before stays in force
    :param fleet_size: how many daemons there are; 0 when that isn't known
    """

    send: typing.Callable[[str, str, typing.Any], object]
    apply: typing.Callable[[Configuration], None]
    fleet_size: typing.Callable[[], int]


@dataclasses.dataclass
class FeedCounters:
    """What a feed has done, for metrics and tests.

    :param head_reads: reads of the head
    :param store_fetches: snapshots read from the object store
    :param peer_fetches: snapshots taken from peers
    :param delta_fetches: those of them that came as changes only
    :param bytes_received: of snapshots and changes from peers
    :param refused: snapshots refused as damaged, or not applied
    """

    head_reads: int = 0
    store_fetches: int = 0
    peer_fetches: int = 0
    delta_fetches: int = 0
    bytes_received: int = 0
    refused: int = 0


class Feed:
    """The configuration of one daemon.

    :param platform: the table and the object store
    :param scheduler: for polls and timeouts
    :param owner: functions of the daemon
    :param rng: for jitter and the choice of peers
    :param settings: what an operator may tune
    """

    def __init__(
        self,
        platform: port.Platform,
        scheduler: interfaces.IReactorTime,
        callbacks: FeedCallbacks,
        rng: random.Random,
        settings: FeedSettings = FeedSettings(),
    ) -> None:
        self.platform = platform
        self.scheduler = scheduler
        self.callbacks = callbacks
        self.rng = rng
        self.settings = settings
        self.counters = FeedCounters()
        self.current = EMPTY
        self.texts: delta.Texts | None = {}
        self.ready = False
        # The highest generation heard of, and its hash when that is known.
        self.newest_generation = 0
        self.newest_hash = ""
        self.peer_generations: dict[str, int] = {}
        self.refused_generation = 0
        self.store_confirmed = False
        self.fetching = False
        self.stopped = False
        self.timers: set[interfaces.IDelayedCall] = set()
        self.start_waiters: list[defer.Deferred[None]] = []
        self.generation_waiters: list[tuple[int, defer.Deferred[None]]] = []
        self.peer_fetch: defer.Deferred[None] | None = None
        self.backoff_wait: defer.Deferred[None] | None = None
        # Peers that were told of the current generation.
        self.announced_peers: set[str] = set()
        self.announce_timer: interfaces.IDelayedCall | None = None
        # Snapshot hash to what changed from it to the next one.
        self.recent_deltas: collections.OrderedDict[
            str, tuple[str, tuple[delta.ObjectChange, ...]]
        ] = collections.OrderedDict()

    @property
    def advertised_generation(self) -> int:
        """The generation to state in messages; 0 until it can be trusted.

        A new daemon that repeated what one peer told it would be counted
        as a second witness by the next new one.
        """
        return self.current.generation if self.ready else 0

    def start(self) -> defer.Deferred[None]:
        """Begins to follow the configuration.

        :return: fires when the configuration in force may be acted on
        """
        started: defer.Deferred[None] = defer.Deferred()
        self.start_waiters.append(started)
        _run(self._start())
        return started

    def stop(self) -> None:
        """Stops all timers; the feed can't be started again."""
        self.stopped = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        waiting = [waiter for _, waiter in self.generation_waiters]
        self.generation_waiters = []
        for waiter in waiting:
            waiter.errback(FeedError("the feed was stopped"))

    def peer_up(self, peer: str, generation: int) -> None:
        """Notes a new link.

        :param peer: name of the peer
        :param generation: from its hello
        """
        self.on_peer_generation(peer, generation)
        if self.ready and generation < self.current.generation:
            self._announce_to(peer)

    def peer_down(self, peer: str) -> None:
        """Forgets a link.

        :param peer: name of the peer
        """
        self.peer_generations.pop(peer, None)
        self.announced_peers.discard(peer)

    def on_peer_generation(self, peer: str, generation: int) -> None:
        """Notes the generation on any message of a peer.

        :param peer: name of the peer
        :param generation: that the peer has in force
        """
        self._note_peer_generation(peer, generation, "")

    def on_generation_news(
        self, peer: str, news: ttypes.GenerationNews
    ) -> None:
        """Handles a peer's news of a generation that it holds.

        :param peer: name of the peer
        :param news: what it says
        """
        same = news.generation == self.current.generation
        if same and news.snapshot_hash != self.current.snapshot_hash:
            events.log(
                events.GENERATION_MISMATCH,
                peer=peer,
                generation=news.generation,
                snapshot_hash=news.snapshot_hash,
                held_hash=self.current.snapshot_hash,
            )
            return
        self._note_peer_generation(peer, news.generation, news.snapshot_hash)

    def on_snapshot_wanted(
        self, peer: str, request: ttypes.SnapshotWanted
    ) -> None:
        """Answers a peer that wants a snapshot.

        A feed that doesn't hold it stays silent; the peer asks elsewhere.

        :param peer: name of the peer
        :param request: the generation and the hash that the peer has
        """
        if self.current.generation < max(1, request.generation):
            return
        content = self.current.content
        base_hash = None
        changes = self._changes_since(request.held_hash)
        if changes is not None:
            shorter = delta.encode(changes)
            if len(shorter) < len(content):
                content = shorter
                base_hash = request.held_hash
        body = ttypes.Snapshot(
            generation=self.current.generation,
            snapshot_hash=self.current.snapshot_hash,
            content=content,
            base_hash=base_hash,
        )
        self.callbacks.send(peer, "snapshot", body)

    def on_snapshot(self, peer: str, snapshot: ttypes.Snapshot) -> None:
        """Takes in a snapshot that a peer sent.

        :param peer: name of the peer
        :param snapshot: what it sent
        """
        self.counters.bytes_received += len(snapshot.content)
        try:
            accepted = self._accept_snapshot(snapshot)
        except FeedError as error:
            self.counters.refused += 1
            self.peer_generations.pop(peer, None)
            events.log(
                events.CONFIGURATION_REFUSED, peer=peer, reason=str(error)
            )
        else:
            if accepted:
                self.counters.peer_fetches += 1
                self.counters.delta_fetches += snapshot.base_hash is not None
                self.on_peer_generation(peer, snapshot.generation)
        self._end_peer_fetch()

    def on_published(self, head: publish.Head, content: bytes) -> None:
        """Takes in what a publisher in this process had accepted.

        :param head: as accepted
        :param content: the snapshot; empty when the publisher doesn't have it
        """
        if content:
            self._apply(head.generation, head.snapshot_hash, content, None)
        self._note_generation(head.generation, head.snapshot_hash)
        self._check_ready()

    def wait_for_generation(
        self, generation: int, timeout_ms: int = 5000
    ) -> defer.Deferred[None]:
        """Waits until a generation, or a newer one, is in force.

        Call it before acting on a message that carries a generation.

        :param generation: from the message
        :param timeout_ms: how long to wait at most
        :return: fires when it is in force
        :raises GenerationTimeout: by the Deferred, when it isn't in time
        """
        if self.ready and generation <= self.current.generation:
            return defer.succeed(None)
        if (
            len(self.generation_waiters) >= MAX_GENERATION_WAITERS
            or self.stopped
        ):
            return defer.fail(FeedError("too many wait for a configuration"))
        self._note_generation(generation, "")
        waiting: defer.Deferred[None] = defer.Deferred()
        entry = (generation, waiting)
        self.generation_waiters.append(entry)
        timer = self._call_later(timeout_ms, self._time_out, entry)

        def cancel(result: typing.Any) -> typing.Any:
            self._cancel(timer)
            return result

        return waiting.addBoth(cancel)

    def poll_interval_ms(self) -> float:
        """Returns the mean time between this daemon's reads of the head.

        It grows with the fleet, so that the fleet's reads don't.

        :return: milliseconds
        """
        budget = self.settings.fleet_reads_per_s
        per_daemon_ms = self.callbacks.fleet_size() * clocks.MS_PER_S / budget
        return max(float(self.settings.shortest_poll_ms), per_daemon_ms)

    async def _start(self) -> None:
        attempt = 0
        while not self.stopped and not self.store_confirmed:
            try:
                head = await self._confirm_head()
            except (port.PlatformError, decode.DecodeError):
                await self._back_off(attempt)
                attempt += 1
                continue
            self.store_confirmed = True
            self._note_generation(head.generation, head.snapshot_hash)
            self._check_ready()
        self._schedule_poll()

    async def _confirm_head(self) -> publish.Head:
        """Reads the head so that the answer can't be stale.

        A write that expects no row is refused with the row as it is now.
        It costs one write at each start of a daemon.
        """
        self.counters.head_reads += 1
        table, key = publish.TABLE, publish.HEAD_KEY
        row = await self.platform.read_row(table, key)
        if row is None:
            return publish.EMPTY_HEAD
        answer = await self.platform.write_row(table, key, row.value, 0, None)
        return publish.decode_head(answer.row)

    def _check_ready(self) -> None:
        if self.ready or self.current.generation < self.newest_generation:
            return
        witnesses = sum(held > 0 for held in self.peer_generations.values())
        needed = self.settings.start_quorum
        fleet_size = self.callbacks.fleet_size()
        if fleet_size:
            needed = min(needed, max(1, fleet_size - 1))
        if not self.store_confirmed and witnesses < needed:
            return
        self.ready = True
        waiting = self.start_waiters
        self.start_waiters = []
        for waiter in waiting:
            waiter.callback(None)
        self._start_announcing()
        self._complete_waiters()

    def _schedule_poll(self) -> None:
        if not self.stopped:
            jitter = 0.5 + self.rng.random()
            self._call_later(self.poll_interval_ms() * jitter, self._poll)

    def _poll(self) -> None:
        _run(self._poll_once())

    async def _poll_once(self) -> None:
        try:
            head = await self._read_head()
            self._note_generation(head.generation, head.snapshot_hash)
        except (port.PlatformError, decode.DecodeError):
            # Peers still spread what is accepted; the next poll tries again.
            pass
        self._schedule_poll()

    async def _read_head(self) -> publish.Head:
        self.counters.head_reads += 1
        row = await self.platform.read_row(publish.TABLE, publish.HEAD_KEY)
        return publish.decode_head(row)

    def _note_peer_generation(
        self, peer: str, generation: int, snapshot_hash: str
    ) -> None:
        """Notes what a peer holds, and fetches it when it is newer."""
        held = self.peer_generations.get(peer, 0)
        # The peer counts as a holder first, or the store would be asked.
        self.peer_generations[peer] = max(generation, held)
        self._note_generation(generation, snapshot_hash)
        self._check_ready()
        if generation > max(held, self.current.generation):
            # Here is another peer to fetch from.
            self._end_backoff()

    def _note_generation(self, generation: int, snapshot_hash: str) -> None:
        if generation > self.newest_generation:
            self.newest_generation = generation
            self.newest_hash = snapshot_hash
        elif generation == self.newest_generation:
            self.newest_hash = self.newest_hash or snapshot_hash
        if self._is_behind() and not self.fetching and not self.stopped:
            self.fetching = True
            _run(self._fetch())

    def _is_behind(self) -> bool:
        newest = max(self.current.generation, self.refused_generation)
        return newest < self.newest_generation

    async def _fetch(self) -> None:
        """Fetches until nothing newer is known of."""
        attempt = 0
        try:
            while self._is_behind() and not self.stopped:
                if await self._fetch_from_peers():
                    continue
                if await self._fetch_from_store():
                    continue
                await self._back_off(attempt)
                attempt += 1
        finally:
            self.fetching = False

    async def _fetch_from_peers(self) -> bool:
        before = self.current.generation
        holders = [
            peer
            for peer, held in self.peer_generations.items()
            if held > before
        ]
        self.rng.shuffle(holders)
        holders.sort(key=lambda peer: -self.peer_generations.get(peer, 0))
        for peer in holders[: self.settings.max_peers_asked]:
            if peer not in self.peer_generations:
                continue
            request = ttypes.SnapshotWanted(
                generation=self.peer_generations[peer],
                snapshot_hash="",
                held_hash=self.current.snapshot_hash or None,
            )
            self.peer_fetch = defer.Deferred()
            peer_fetch = self.peer_fetch
            timer = self._call_later(
                self.settings.peer_timeout_ms, self._end_peer_fetch
            )
            self.callbacks.send(peer, "snapshot_wanted", request)
            await peer_fetch
            self._cancel(timer)
            if self.current.generation > before or not self._is_behind():
                return True
        return False

    def _end_peer_fetch(self) -> None:
        waiting = self.peer_fetch
        self.peer_fetch = None
        if waiting is not None:
            waiting.callback(None)

    async def _fetch_from_store(self) -> bool:
        before = self.current.generation
        try:
            generation, snapshot_hash = (
                self.newest_generation,
                self.newest_hash,
            )
            if not snapshot_hash:
                head = await self._read_head()
                generation = head.generation
                snapshot_hash = head.snapshot_hash
            if generation <= before:
                return False
            self.counters.store_fetches += 1
            content = await self.platform.read_object(
                publish.snapshot_name(snapshot_hash)
            )
            if content is None:
                return False
            self._check_content(snapshot_hash, content)
        except (port.PlatformError, decode.DecodeError, FeedError):
            return False
        self._note_generation(generation, snapshot_hash)
        self._apply(generation, snapshot_hash, content, None)
        return True

    def _accept_snapshot(self, snapshot: ttypes.Snapshot) -> bool:
        if snapshot.generation <= self.current.generation:
            return False
        content = snapshot.content
        changes = None
        if len(content) > publish.MAX_SNAPSHOT_BYTES:
            raise FeedError(f"snapshot of {len(content)} bytes is too long")
        if snapshot.base_hash is not None:
            if snapshot.base_hash != self.current.snapshot_hash:
                return False
            changes = self._decode_changes(content)
            content = delta.join(delta.patch(self.texts or {}, changes))
        self._check_content(snapshot.snapshot_hash, content)
        accepted = self._apply(
            snapshot.generation, snapshot.snapshot_hash, content, changes
        )
        self._note_generation(snapshot.generation, snapshot.snapshot_hash)
        return accepted

    def _decode_changes(
        self, content: bytes
    ) -> tuple[delta.ObjectChange, ...]:
        try:
            return delta.decode(content)
        except delta.DeltaError as error:
            raise FeedError(str(error)) from error

    def _check_content(self, snapshot_hash: str, content: bytes) -> None:
        if len(content) > publish.MAX_SNAPSHOT_BYTES:
            raise FeedError(f"snapshot of {len(content)} bytes is too long")
        found = hashlib.sha256(content).hexdigest()
        if found != snapshot_hash:
            raise FeedError(
                f"snapshot has hash {found!r}, not {snapshot_hash!r}"
            )

    def _apply(
        self,
        generation: int,
        snapshot_hash: str,
        content: bytes,
        changes: tuple[delta.ObjectChange, ...] | None,
    ) -> bool:
        """Applies a checked snapshot; the only place that sets ``current``."""
        if generation <= self.current.generation:
            return False
        texts = self._split_content(content, changes)
        if changes is None and texts is not None and self.texts is not None:
            changes = delta.difference(self.texts, texts)
        configuration = Configuration(
            generation, snapshot_hash, content, changes
        )
        try:
            self.callbacks.apply(configuration)
        except errors.GodwitloftError as error:
            self.counters.refused += 1
            self.refused_generation = max(self.refused_generation, generation)
            events.log(
                events.CONFIGURATION_REFUSED,
                generation=generation,
                reason=str(error),
            )
            return False
        if changes is not None and self.current.snapshot_hash:
            self._keep_delta(
                self.current.snapshot_hash, snapshot_hash, changes
            )
        self.current = configuration
        self.texts = texts
        events.log(
            events.CONFIGURATION_IN_FORCE,
            generation=generation,
            snapshot_hash=snapshot_hash,
        )
        self._check_ready()
        if self.ready:
            self._start_announcing()
            self._complete_waiters()
        return True

    def _split_content(
        self,
        content: bytes,
        changes: tuple[delta.ObjectChange, ...] | None,
    ) -> delta.Texts | None:
        if changes is not None and self.texts is not None:
            return delta.patch(self.texts, changes)
        try:
            return delta.split(content)
        except delta.DeltaError:
            # Snapshots of another form are passed on whole.
            return None

    def _keep_delta(
        self,
        before_hash: str,
        after_hash: str,
        changes: tuple[delta.ObjectChange, ...],
    ) -> None:
        # A configuration may come back to an earlier content; the newest
        # way on from a hash is the one that leads to the current one.
        self.recent_deltas.pop(before_hash, None)
        self.recent_deltas[before_hash] = (after_hash, changes)
        while len(self.recent_deltas) > RECENT_DELTAS:
            self.recent_deltas.popitem(last=False)

    def _changes_since(
        self, held_hash: str | None
    ) -> tuple[delta.ObjectChange, ...] | None:
        steps: list[tuple[delta.ObjectChange, ...]] = []
        found = held_hash or ""
        while found != self.current.snapshot_hash:
            if found not in self.recent_deltas or len(steps) > RECENT_DELTAS:
                return None
            found, changes = self.recent_deltas[found]
            steps.append(changes)
        return delta.compose(steps)

    def _start_announcing(self) -> None:
        """Begins to tell peers of the generation that has come into force."""
        self.announced_peers.clear()
        if self.announce_timer is None:
            self._announce_to_some()

    def _announce_to_some(self) -> None:
        """Tells some peers, and later others that still seem behind.

        Those that heard it elsewhere say so in the meantime, so that most
        daemons are told a few times, not once by each of their peers.
        """
        self.announce_timer = None
        behind = [
            peer
            for peer, held in self.peer_generations.items()
            if held < self.current.generation
            and peer not in self.announced_peers
        ]
        count = min(self.settings.fanout, len(behind))
        for peer in self.rng.sample(behind, count):
            self._announce_to(peer)
        if count < len(behind):
            self.announce_timer = self._call_later(
                self.settings.announce_interval_ms, self._announce_to_some
            )

    def _announce_to(self, peer: str) -> None:
        self.announced_peers.add(peer)
        news = ttypes.GenerationNews(
            generation=self.current.generation,
            snapshot_hash=self.current.snapshot_hash,
        )
        self.callbacks.send(peer, "generation_news", news)

    def _complete_waiters(self) -> None:
        generation = self.current.generation
        met = [
            waiter
            for required, waiter in self.generation_waiters
            if required <= generation
        ]
        self.generation_waiters = [
            entry for entry in self.generation_waiters if entry[0] > generation
        ]
        for waiter in met:
            waiter.callback(None)

    def _time_out(self, entry: tuple[int, defer.Deferred[None]]) -> None:
        if entry in self.generation_waiters:
            self.generation_waiters.remove(entry)
            entry[1].errback(
                GenerationTimeout(
                    f"generation {entry[0]} did not come in time"
                )
            )

    async def _back_off(self, attempt: int) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        duration_ms = swap.backoff_ms(
            attempt,
            self.settings.first_backoff_ms,
            self.settings.longest_backoff_ms,
            self.rng.random(),
        )
        self.backoff_wait = waiting
        timer = self._call_later(duration_ms, self._end_backoff)
        await waiting
        self._cancel(timer)

    def _end_backoff(self) -> None:
        waiting = self.backoff_wait
        self.backoff_wait = None
        if waiting is not None:
            waiting.callback(None)

    def _call_later(
        self,
        duration_ms: float,
        call: typing.Callable[..., object],
        *args: typing.Any,
    ) -> interfaces.IDelayedCall:
        def run() -> None:
            self.timers.discard(timer)
            call(*args)

        seconds = duration_ms / clocks.MS_PER_S
        timer = self.scheduler.callLater(seconds, run)
        self.timers.add(timer)
        return timer

    def _cancel(self, timer: interfaces.IDelayedCall) -> None:
        self.timers.discard(timer)
        try:
            timer.cancel()
        except (internet_error.AlreadyCalled, internet_error.AlreadyCancelled):
            pass


def _run(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Starts work whose failure is a fault of the program."""

    def log_failure(problem: failure.Failure) -> None:
        events.log(events.FEED_FAILED, reason=problem.getTraceback())

    defer.ensureDeferred(work).addErrback(log_failure)
