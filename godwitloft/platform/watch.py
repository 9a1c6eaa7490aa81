"""Follows the platform's store: configuration, upstreams and gateways."""

import base64
import dataclasses
import functools
import json
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import listing as listings
from godwitloft.gateway import model
from godwitloft.gateway import sharing
from godwitloft.platform import rows
from godwitloft.platform import store as stores

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAM_TABLE = "servers"
GATEWAY_TABLE = "gateways"

LONGEST_CHANGES_WAIT_MS = 1_500
# A proof is as old as the call that brought it, and must last until the
# next one.
CHANGES_IN_PROOF = 3
UPSTREAM_INTERVAL_MS = 800
RETURN_INTERVAL_MS = 250
GATEWAY_INTERVAL_MS = 2_000
GATEWAY_LEASE_MS = 7_000
SHORTEST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 400


Decoded = typing.TypeVar("Decoded")


@dataclasses.dataclass(frozen=True)
class Listener:
    """Who is told of what the store says.

    :param configuration: another configuration was read
    :param confirmed: at a moment not before this time, the last
        configuration that was told was the newest
    :param upstreams: the list of upstreams, by id
    :param gateways: IP numbers of the others that hold a lease, by instance
    :param restored: what an earlier start of this process had used, by team,
        and how many milliseconds ago
    :param restored_peer: the same of another process, with its name
    :param usage: returns what this process has used, by team
    """

    configuration: typing.Callable[[model.Configuration], None]
    confirmed: typing.Callable[[int], None]
    upstreams: typing.Callable[[dict[str, model.Upstream]], None]
    gateways: typing.Callable[[dict[str, str]], None]
    restored: typing.Callable[[sharing.Usage, int], None]
    restored_peer: typing.Callable[[str, sharing.Usage, int], None]
    usage: typing.Callable[[], sharing.Usage]


class Pause:
    """Grows with each failure and starts again after a success.

    :param name: of the loop, for the log
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.failures = 0

    def succeeded(self) -> None:
        """Notes a success."""
        if self.failures:
            events.log(
                events.STORE_REGAINED, loop=self.name, failures=self.failures
            )
        self.failures = 0

    def failed(self, problem: Exception) -> int:
        """Notes a failure.

        :param problem: what happened
        :return: how long to wait, in milliseconds
        """
        if self.failures == 0:
            events.log(events.STORE_LOST, loop=self.name, reason=str(problem))
        self.failures += 1
        doublings = min(self.failures - 1, 8)
        return min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS << doublings)


class Watch:
    """The loops that follow the store.

    :param reactor: the twisted reactor
    :param clock: tells the time, also while the machine is suspended
    :param store: the client
    :param listener: who is told
    :param instance: name of this gateway's row
    :param host: IP number where other gateways reach this one
    :param key_proof_ms: how old the proof that a key is valid may be
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        store: stores.Store,
        listener: Listener,
        instance: str,
        host: str,
        key_proof_ms: int,
    ) -> None:
        self.host = host
        self.changes_wait_ms = LONGEST_CHANGES_WAIT_MS
        if key_proof_ms > 0:
            self.changes_wait_ms = min(
                LONGEST_CHANGES_WAIT_MS, key_proof_ms // CHANGES_IN_PROOF
            )
        self.reactor = reactor
        self.clock = clock
        self.store = store
        self.listener = listener
        self.instance = instance
        self.version = 0
        self.stopped = False
        self.restored = False
        self.listing = listings.Listing()
        self.bad_rows: dict[str, int] = {}
        self.list_failed = False

    def start(self) -> None:
        """Starts all loops."""
        self.follow("configuration", self.follow_configuration)
        self.follow("upstreams", self.follow_upstreams)
        self.follow("gateways", self.follow_gateways)

    def stop(self) -> None:
        """Ends all loops after their current call."""
        self.stopped = True

    def follow(
        self,
        name: str,
        step: typing.Callable[[], "defer.Deferred[int]"],
    ) -> None:
        """Runs one loop.

        :param name: for the log
        :param step: one round; its result is the pause after it
        """
        pause = Pause(name)

        def run() -> None:
            if not self.stopped:
                defer.maybeDeferred(step).addCallbacks(done, failed)

        def done(pause_ms: int) -> None:
            pause.succeeded()
            again(pause_ms)

        def failed(problem: typing.Any) -> None:
            error = problem.value
            if isinstance(error, stores.HistoryLostError):
                self.version = 0
            elif not isinstance(error, stores.StoreError):
                events.log_error(events.INTERNAL_ERROR, error, task=name)
            if name == "upstreams":
                self.list_failed = True
            again(pause.failed(error))

        def again(pause_ms: int) -> None:
            self.reactor.callLater(pause_ms / clocks.MS_PER_S, run)

        run()

    @defer.inlineCallbacks
    def follow_configuration(
        self,
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads the configuration, then waits for its next change."""
        asked_ms = self.clock.monotonic_ms()
        if self.version == 0:
            found = yield self.store.read(OPERATOR_TABLE)
        else:
            found = yield self.store.changes(
                OPERATOR_TABLE, self.version, self.changes_wait_ms
            )
        known = self.version != 0
        for row in found.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                known = self.take_configuration(row) or known
        if known:
            self.listener.confirmed(asked_ms)
            self.version = found.version
            return 0
        return SHORTEST_PAUSE_MS

    def take_configuration(self, row: stores.Row) -> bool:
        """Decodes and passes on a configuration.

        :param row: the operators' row
        :return: whether it could be read
        """
        configuration = self.decoded(OPERATOR_TABLE, row, rows.configuration)
        if configuration is None:
            return False
        self.listener.configuration(configuration)
        return True

    @defer.inlineCallbacks
    def follow_upstreams(
        self,
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads the whole list of upstreams."""
        asked_ms = self.clock.monotonic_ms()
        listed: dict[str, model.Upstream] = {}
        last_key = ""
        while True:
            found = yield self.store.read(UPSTREAM_TABLE, last_key)
            for row in found.rows:
                upstream = self.decoded(
                    UPSTREAM_TABLE,
                    row,
                    functools.partial(rows.upstream, row.key),
                )
                if upstream is not None:
                    listed[row.key] = upstream
            if not found.more or not found.rows:
                break
            last_key = found.rows[-1].key
        now_ms = self.clock.monotonic_ms()
        if self.list_failed:
            self.list_failed = False
            self.listing.returned(now_ms)
        self.listener.upstreams(self.listing.take(listed, now_ms))
        took_ms = self.clock.monotonic_ms() - asked_ms
        interval_ms = UPSTREAM_INTERVAL_MS
        if self.listing.awaits_return():
            interval_ms = RETURN_INTERVAL_MS
        return max(SHORTEST_PAUSE_MS, interval_ms - took_ms)

    def decoded(
        self,
        table: str,
        row: stores.Row,
        decode: typing.Callable[[str, object], Decoded],
    ) -> Decoded | None:
        """Decodes a row; one that can't be used is logged once a version.

        :param table: of the row
        :param row: of any writer
        :param decode: takes table and key, for errors, and the value
        :return: what the row says, None if it can't be used
        """
        name = f"{table}/{row.key}"
        try:
            return decode(name, row.value)
        except rows.RowError as problem:
            if self.bad_rows.get(name) != row.version:
                self.bad_rows[name] = row.version
                events.log(
                    events.ROW_SKIPPED,
                    row=name,
                    version=row.version,
                    field=problem.field,
                    reason=problem.reason,
                )
        return None

    @defer.inlineCallbacks
    def follow_gateways(
        self,
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Counts the gateways that hold a lease, then renews the own one.

        A gateway that is parted from the store can't renew, and by the time
        its lease is over it has no proof of valid keys left either.
        """
        found = yield self.store.read(GATEWAY_TABLE)
        others = {}
        own = None
        for row in found.rows:
            holder = self.decoded(GATEWAY_TABLE, row, lease_holder)
            if holder is None:
                continue
            age_ms = max(0, found.now_ms - holder.renewed_ms)
            if row.key != self.instance and not self.restored:
                self.listener.restored_peer(row.key, holder.used, age_ms)
            if row.key == self.instance:
                own = holder
            elif age_ms < GATEWAY_LEASE_MS:
                others[row.key] = holder.host
        self.listener.gateways(others)
        if not self.restored:
            self.restored = True
            age_ms = found.now_ms - own.renewed_ms if own is not None else 0
            self.listener.restored(own.used if own else {}, max(0, age_ms))
        used = {
            team: [round(tokens) for tokens in sums]
            for team, sums in self.listener.usage().items()
            if sum(sums) >= 1
        }
        content = {
            "renewed_ms": found.now_ms,
            "host": self.host,
            "used": used,
        }
        value = base64.b64encode(json.dumps(content).encode()).decode()
        yield self.store.put(GATEWAY_TABLE, self.instance, value)
        return GATEWAY_INTERVAL_MS


@dataclasses.dataclass(frozen=True)
class LeaseHolder:
    """A gateway's row.

    :param host: its IP number
    :param renewed_ms: when it renewed its lease, on the store's clock
    :param used: what it had used of teams' allowances
    """

    host: str
    renewed_ms: int
    used: sharing.Usage


def lease_holder(name: str, value: object) -> LeaseHolder:
    """Decodes a gateway's row.

    :param name: table and key
    :param value: base64 of JSON
    :return: the holder
    """
    fields = rows.content(name, value)
    used = rows.Fields(name, "used", fields.value.get("used", {}))
    return LeaseHolder(
        fields.text("host"),
        int(fields.number("renewed_ms")),
        {team: used.numbers(team) for team in used.value},
    )
