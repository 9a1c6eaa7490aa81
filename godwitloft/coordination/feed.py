"""Each daemon's copy of the configuration; its generation only increases.

The platform provides a table and an object store. A row of the table, the
head, names the newest generation and the hash of its snapshot; the object
store holds the snapshots.

A daemon learns of a newer generation from its peers or by reading the head
from the table at long intervals. It fetches the snapshot from a peer that
holds it, else from the object store. Late, duplicate, stale and damaged
messages don't change the configuration.

The feed has no sockets: the daemon passes messages in and out.
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
    """A configuration could not be fetched or decoded."""


class GenerationTimeout(FeedError):
    """A required generation did not come into force before the timeout."""


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One generation of the configuration.

    :param generation: number of the generation
    :param snapshot_hash: SHA-256 of the content, hexadecimal
    :param content: canonical JSON
    :param changes: difference from the configuration applied before, or
        None if unknown
    """

    generation: int
    snapshot_hash: str
    content: bytes
    changes: tuple[delta.ObjectChange, ...] | None = None


EMPTY = Configuration(0, "", b"")


@dataclasses.dataclass(frozen=True)
class FeedSettings:
    """Tunable limits and intervals of a feed.

    :param fleet_reads_per_s: reads of the head per second by the whole fleet
    :param shortest_poll_ms: shortest mean time between two reads of the head
        by one daemon, in milliseconds
    :param peer_timeout_ms: time for a peer to send a snapshot, in
        milliseconds
    :param max_peers_asked: peers to ask before falling back to the object
        store
    :param fanout: peers to which a daemon announces a new generation at once
    :param announce_interval_ms: wait before it announces it to as many more
        of the peers that still seem to be behind, in milliseconds
    :param start_quorum: independent peers whose generations a starting
        daemon must know before it is ready, if it can't read the table
    :param first_backoff_ms: wait after the first round of failed fetches, in
        milliseconds
    :param longest_backoff_ms: upper bound of that wait, in milliseconds
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
    """Functions that the daemon provides to its feed.

    :param send: takes ``(peer, field of the link message, body)``; may drop
        the message
    :param apply: applies a configuration; raises a ``GodwitloftError`` if it
        can't, and then the previous configuration stays in force
    :param fleet_size: returns the number of daemons, 0 if unknown
    """

    send: typing.Callable[[str, str, typing.Any], object]
    apply: typing.Callable[[Configuration], None]
    fleet_size: typing.Callable[[], int]


@dataclasses.dataclass
class FeedCounters:
    """Counters of a feed, for metrics and tests.

    :param head_reads: reads of the head from the table, also failed ones
    :param store_fetches: reads of snapshots from the object store, also
        failed ones
    :param peer_fetches: snapshots and deltas from peers that were applied
    :param delta_fetches: the deltas among ``peer_fetches``
    :param bytes_received: bytes of snapshots and deltas from peers
    :param refused: damaged snapshots and deltas from peers, and
        configurations that the daemon could not apply; a damaged snapshot
        from the object store isn't counted
    """

    head_reads: int = 0
    store_fetches: int = 0
    peer_fetches: int = 0
    delta_fetches: int = 0
    bytes_received: int = 0
    refused: int = 0


class Feed:
    """Follows the configuration on behalf of one daemon.

    :param platform: the table and the object store
    :param scheduler: for polls and timeouts
    :param callbacks: functions of the daemon
    :param rng: for jitter and the choice of peers
    :param settings: limits and intervals
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
        # The current content as the text of each object, the base for deltas;
        # None if the content could not be split.
        self.texts: delta.Texts | None = {}
        self.ready = False
        # The highest generation known of, and its hash if known.
        self.newest_generation = 0
        self.newest_hash = ""
        self.peer_generations: dict[str, int] = {}
        # The highest generation that the daemon could not apply. The feed
        # doesn't count as behind because of it: it would otherwise fetch the
        # same configuration again and again without a backoff.
        self.refused_generation = 0
        # Whether the head was read from the table at the start.
        self.store_confirmed = False
        self.fetching = False
        self.stopped = False
        self.timers: set[interfaces.IDelayedCall] = set()
        self.start_waiters: list[defer.Deferred[None]] = []
        self.generation_waiters: list[tuple[int, defer.Deferred[None]]] = []
        self.peer_fetch: defer.Deferred[None] | None = None
        # The peer that was asked for a snapshot last.
        self.asked_peer = ""
        self.backoff_wait: defer.Deferred[None] | None = None
        # Peers to which the current generation was announced.
        self.announced_peers: set[str] = set()
        self.announce_timer: interfaces.IDelayedCall | None = None
        # Snapshot hash to the next snapshot's hash and the delta to it.
        self.recent_deltas: collections.OrderedDict[
            str, tuple[str, tuple[delta.ObjectChange, ...]]
        ] = collections.OrderedDict()

    @property
    def advertised_generation(self) -> int:
        """The generation to state in messages; 0 until the feed is ready.

        If a starting daemon repeated the generation that a single peer sent
        it, the next starting daemon would count both as independent peers.
        """
        return self.current.generation if self.ready else 0

    def start(self) -> defer.Deferred[None]:
        """Starts to follow the configuration.

        :return: fires when the feed is ready, that is, when the
            configuration in force may be used
        """
        started: defer.Deferred[None] = defer.Deferred()
        self.start_waiters.append(started)
        _run(self._start())
        return started

    def stop(self) -> None:
        """Stops all timers and fetches, and fails waiters for generations.

        A stopped feed can't be started again. The Deferreds that
        :meth:`start` returned are not failed: if the feed isn't ready yet,
        they may never fire.
        """
        self.stopped = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        waiters = [waiter for _, waiter in self.generation_waiters]
        self.generation_waiters = []
        for waiter in waiters:
            waiter.errback(FeedError("the feed was stopped"))
        self._end_peer_fetch()
        self._end_backoff()

    def peer_up(self, peer: str, generation: int) -> None:
        """Handles a new link.

        :param peer: name of the peer
        :param generation: generation in the peer's hello
        """
        self.on_peer_generation(peer, generation)
        if self.ready and generation < self.current.generation:
            self._announce_to(peer)

    def peer_down(self, peer: str) -> None:
        """Handles the loss of a link.

        :param peer: name of the peer
        """
        self.peer_generations.pop(peer, None)
        self.announced_peers.discard(peer)

    def on_peer_generation(self, peer: str, generation: int) -> None:
        """Handles the generation that any message of a peer states.

        Records it and, if it is newer, starts to fetch it or ends the backoff
        of the running fetch. The feed may become ready.

        :param peer: name of the peer
        :param generation: generation that the peer has in force
        """
        self._note_peer_generation(peer, generation, "")

    def on_generation_news(
        self, peer: str, news: ttypes.GenerationNews
    ) -> None:
        """Handles a peer's announcement of a generation that it holds.

        If the peer states another hash for the generation in force, this is
        logged and the announcement is otherwise ignored.

        :param peer: name of the peer
        :param news: the message
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
        """Sends the current snapshot, or a delta to it, to a peer.

        If the current generation is newer than the requested one, it is sent
        instead. If it is older, or none is in force yet, nothing is sent; the
        peer then times out and asks elsewhere.

        :param peer: name of the peer
        :param request: the requested generation and the hash of the snapshot
            that the peer holds
        """
        if self.current.generation < max(1, request.generation):
            return
        content = self.current.content
        base_hash = None
        changes = self._changes_since(request.held_hash)
        if changes is not None:
            encoded = delta.encode(changes)
            if len(encoded) < len(content):
                content = encoded
                base_hash = request.held_hash
        body = ttypes.Snapshot(
            generation=self.current.generation,
            snapshot_hash=self.current.snapshot_hash,
            content=content,
            base_hash=base_hash,
        )
        self.callbacks.send(peer, "snapshot", body)

    def on_snapshot(self, peer: str, snapshot: ttypes.Snapshot) -> None:
        """Handles a snapshot or delta that a peer sent.

        :param peer: name of the peer
        :param snapshot: the message
        """
        self.counters.bytes_received += len(snapshot.content)
        accepted = False
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
        if accepted or peer == self.asked_peer:
            self._end_peer_fetch()

    def on_published(self, head: publish.Head, content: bytes) -> None:
        """Handles a configuration published by this process.

        :param head: the accepted head
        :param content: the snapshot; empty if the publisher doesn't have it
        """
        if content:
            self._apply(head.generation, head.snapshot_hash, content, None)
        self._note_generation(head.generation, head.snapshot_hash)
        self._check_ready()

    def wait_for_generation(
        self, generation: int, timeout_ms: int = 5000
    ) -> defer.Deferred[None]:
        """Waits until a generation, or a newer one, is in force.

        Call it before processing a message that carries a generation.

        :param generation: generation in the message
        :param timeout_ms: longest wait, in milliseconds
        :return: fires when the generation is in force; fails with
            :class:`GenerationTimeout` after the timeout, and with
            :class:`FeedError` if too many wait or the feed is stopped
        """
        if self.ready and generation <= self.current.generation:
            return defer.succeed(None)
        if (
            len(self.generation_waiters) >= MAX_GENERATION_WAITERS
            or self.stopped
        ):
            return defer.fail(
                FeedError(
                    "too many callers wait for a configuration, or the feed is"
                    " stopped"
                )
            )
        self._note_generation(generation, "")
        waiter: defer.Deferred[None] = defer.Deferred()
        entry = (generation, waiter)
        self.generation_waiters.append(entry)
        timer = self._call_later(timeout_ms, self._time_out, entry)

        def cancel(result: typing.Any) -> typing.Any:
            self._cancel(timer)
            return result

        return waiter.addBoth(cancel)

    def poll_interval_ms(self) -> float:
        """Returns the mean time between this daemon's reads of the head.

        It grows with the fleet, so that the fleet's total read rate doesn't.

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
        """Reads the head in a way that can't return a stale row.

        A write that expects no row is rejected with the current row. This
        costs one write at each start of a daemon.
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
        independent_peers = sum(
            held_generation > 0
            for held_generation in self.peer_generations.values()
        )
        needed = self.settings.start_quorum
        fleet_size = self.callbacks.fleet_size()
        if fleet_size:
            needed = min(needed, max(1, fleet_size - 1))
        if not self.store_confirmed and independent_peers < needed:
            return
        self.ready = True
        waiters = self.start_waiters
        self.start_waiters = []
        for waiter in waiters:
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
            # Peers still announce new generations; the next poll retries.
            pass
        self._schedule_poll()

    async def _read_head(self) -> publish.Head:
        self.counters.head_reads += 1
        row = await self.platform.read_row(publish.TABLE, publish.HEAD_KEY)
        return publish.decode_head(row)

    def _note_peer_generation(
        self, peer: str, generation: int, snapshot_hash: str
    ) -> None:
        """Records the generation that a peer holds; fetches it if newer."""
        held_generation = self.peer_generations.get(peer, 0)
        # Recorded before the fetch starts, which otherwise would find no peer
        # with the generation and read the object store.
        self.peer_generations[peer] = max(generation, held_generation)
        self._note_generation(generation, snapshot_hash)
        self._check_ready()
        if generation > max(held_generation, self.current.generation):
            # Another peer to fetch from: retry at once.
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
        newest_tried = max(self.current.generation, self.refused_generation)
        return newest_tried < self.newest_generation

    async def _fetch(self) -> None:
        """Fetches until no newer generation is known of."""
        attempt = 0
        try:
            while self._is_behind() and not self.stopped:
                if await self._fetch_from_peers():
                    continue
                if self.stopped or await self._fetch_from_store():
                    continue
                await self._back_off(attempt)
                attempt += 1
        finally:
            self.fetching = False

    async def _fetch_from_peers(self) -> bool:
        """Requests a newer snapshot from some peers, one after another.

        :return: whether a newer configuration came into force or the feed is
            no longer behind, for example because the daemon refused it
        """
        before = self.current.generation
        holders = [
            peer
            for peer, held_generation in self.peer_generations.items()
            if held_generation > before
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
            self.asked_peer = peer
            self.peer_fetch = defer.Deferred()
            peer_fetch = self.peer_fetch
            timer = self._call_later(
                self.settings.peer_timeout_ms, self._end_peer_fetch
            )
            self.callbacks.send(peer, "snapshot_wanted", request)
            await peer_fetch
            self._cancel(timer)
            if self.stopped:
                return False
            if self.current.generation > before or not self._is_behind():
                return True
        return False

    def _end_peer_fetch(self) -> None:
        waiter = self.peer_fetch
        self.peer_fetch = None
        if waiter is not None:
            waiter.callback(None)

    async def _fetch_from_store(self) -> bool:
        """Reads the newest known snapshot from the object store.

        If its hash isn't known, the head is read from the table first.

        :return: whether an intact snapshot was read, even if the daemon then
            could not apply it
        """
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
        except (port.PlatformError, decode.DecodeError):
            return False
        except FeedError as error:
            self.counters.refused += 1
            events.log(
                events.CONFIGURATION_REFUSED,
                generation=generation,
                reason=str(error),
            )
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
        computed_hash = hashlib.sha256(content).hexdigest()
        if computed_hash != snapshot_hash:
            raise FeedError(
                f"snapshot has hash {computed_hash!r}, not {snapshot_hash!r}"
            )

    def _apply(
        self,
        generation: int,
        snapshot_hash: str,
        content: bytes,
        changes: tuple[delta.ObjectChange, ...] | None,
    ) -> bool:
        """Applies a verified snapshot; nothing else sets ``current``."""
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
        """Returns the text of each object; None if it can't be split."""
        if changes is not None and self.texts is not None:
            return delta.patch(self.texts, changes)
        try:
            return delta.split(content)
        except delta.DeltaError:
            # Snapshots that can't be split are sent to peers whole.
            return None

    def _keep_delta(
        self,
        before_hash: str,
        after_hash: str,
        changes: tuple[delta.ObjectChange, ...],
    ) -> None:
        # The content may return to an earlier one, so that a hash occurs
        # twice; only its newest delta leads to the current snapshot.
        self.recent_deltas.pop(before_hash, None)
        self.recent_deltas[before_hash] = (after_hash, changes)
        while len(self.recent_deltas) > RECENT_DELTAS:
            self.recent_deltas.popitem(last=False)

    def _changes_since(
        self, held_hash: str | None
    ) -> tuple[delta.ObjectChange, ...] | None:
        steps: list[tuple[delta.ObjectChange, ...]] = []
        reached_hash = held_hash or ""
        while reached_hash != self.current.snapshot_hash:
            if (
                reached_hash not in self.recent_deltas
                or len(steps) > RECENT_DELTAS
            ):
                return None
            reached_hash, changes = self.recent_deltas[reached_hash]
            steps.append(changes)
        return delta.compose(steps)

    def _start_announcing(self) -> None:
        """Starts to announce the generation in force to peers."""
        self.announced_peers.clear()
        if self.announce_timer is None:
            self._announce_to_some()

    def _announce_to_some(self) -> None:
        """Announces the generation to some peers that seem to be behind.

        The rest follow after an interval. By then, peers that learnt of the
        generation elsewhere have said so; most daemons thus receive a few
        announcements instead of one from each peer.
        """
        self.announce_timer = None
        behind = [
            peer
            for peer, held_generation in self.peer_generations.items()
            if held_generation < self.current.generation
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
                    f"generation {entry[0]} did not come into force in time"
                )
            )

    async def _back_off(self, attempt: int) -> None:
        if self.stopped:
            return
        waiter: defer.Deferred[None] = defer.Deferred()
        duration_ms = swap.backoff_ms(
            attempt,
            self.settings.first_backoff_ms,
            self.settings.longest_backoff_ms,
            self.rng.random(),
        )
        self.backoff_wait = waiter
        timer = self._call_later(duration_ms, self._end_backoff)
        await waiter
        self._cancel(timer)

    def _end_backoff(self) -> None:
        waiter = self.backoff_wait
        self.backoff_wait = None
        if waiter is not None:
            waiter.callback(None)

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
    """Starts a coroutine; its failure is a bug and is logged."""

    def log_failure(problem: failure.Failure) -> None:
        events.log(events.FEED_FAILED, reason=problem.getTraceback())

    defer.ensureDeferred(work).addErrback(log_failure)
