"""Follows the platform's store: configuration, upstreams and gateways."""

import base64
import dataclasses
import functools
import json
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway import peer_confirmation as peer_confirmations
from godwitloft.gateway import sharing
from godwitloft.gateway import upstream_list as upstream_lists
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
# How often it is looked whether a call is needed, where other gateways
# confirm what is known.
CHECK_INTERVAL_MS = 50
RENEWAL_INTERVAL_MS = 5_000
SHORTEST_RENEWAL_INTERVAL_MS = 1_500
GATEWAY_LEASE_MS = 8_000
# Gateways hear each other; the rows are read so much less often than written.
RENEWALS_FOR_A_READ = 3
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
    :param needs_saving: whether that has changed much
    :param saved: told just before it is written
    """

    configuration: typing.Callable[[model.Configuration], None]
    confirmed: typing.Callable[[int], None]
    upstreams: typing.Callable[[dict[str, model.Upstream]], None]
    gateways: typing.Callable[[dict[str, str]], None]
    restored: typing.Callable[[sharing.Usage, int], None]
    restored_peer: typing.Callable[[str, sharing.Usage, int], None]
    usage: typing.Callable[[], sharing.Usage]
    needs_saving: typing.Callable[[], bool]
    saved: typing.Callable[[], None]


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
                events.STORE_RECOVERED, loop=self.name, failures=self.failures
            )
        self.failures = 0

    def failed(self, problem: Exception) -> int:
        """Notes a failure.

        :param problem: what happened
        :return: how long to wait, in milliseconds
        """
        if self.failures == 0:
            events.log(
                events.STORE_FAILED, loop=self.name, reason=str(problem)
            )
        self.failures += 1
        doublings = min(self.failures - 1, 8)
        return min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS << doublings)


class Watch:
    """The loops that follow the store.

    :param reactor: the twisted reactor
    :param clock: tells the time, also while the machine is suspended
    :param store: the client
    :param listener: who is told
    :param news: what other gateways confirm
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
        confirmation: peer_confirmations.PeerConfirmation,
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
        self.confirmation = confirmation
        self.instance = instance
        self.version = 0
        self.stopped = False
        self.restored = False
        self.renewed_ms = 0
        self.renewals = 0
        # What the store's clock is ahead of this process's.
        self.store_ahead_ms = 0
        self.upstream_list = upstream_lists.UpstreamList()
        self.bad_rows: dict[str, int] = {}
        self.list_failed = False

    def start(self) -> None:
        """Starts all loops."""
        self.follow(
            "configuration", self.needs_configuration, self.read_configuration
        )
        self.follow("upstreams", self.needs_upstreams, self.read_upstreams)
        self.follow("gateways", self.needs_renewal, self.renew)

    def stop(self) -> None:
        """Ends all loops after their current call."""
        self.stopped = True

    def follow(
        self,
        name: str,
        needed: typing.Callable[[], bool],
        step: typing.Callable[[], "defer.Deferred[int]"],
    ) -> None:
        """Runs one loop.

        :param name: for the log
        :param needed: whether the store must be asked now
        :param step: one round; its result is the pause after it
        """
        pause = Pause(name)

        def run() -> None:
            if self.stopped:
                return
            if needed():
                defer.maybeDeferred(step).addCallbacks(done, failed)
            else:
                again(CHECK_INTERVAL_MS)

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

    def needs_configuration(self) -> bool:
        """Tells whether the store must be asked for the configuration.

        :return: whether it isn't known, or nobody else confirms it
        """
        return self.version == 0 or self.confirmation.needs_version()

    @defer.inlineCallbacks
    def read_configuration(
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
            self.confirmation.mark_version_read()
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

    def needs_upstreams(self) -> bool:
        """Tells whether the store must be asked for the upstreams.

        :return: whether some may return, or nobody else confirms the list
        """
        return (
            self.upstream_list.has_lapsed() or self.confirmation.needs_list()
        )

    @defer.inlineCallbacks
    def read_upstreams(
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
            self.upstream_list.mark_returned(now_ms)
        self.confirmation.record_list(listed, asked_ms)
        self.listener.upstreams(self.upstream_list.update(listed, now_ms))
        took_ms = self.clock.monotonic_ms() - asked_ms
        interval_ms = UPSTREAM_INTERVAL_MS
        if self.upstream_list.has_lapsed():
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

    def needs_renewal(self) -> bool:
        """Tells whether the own lease must be renewed.

        :return: whether it is due, or much was used since the last time
        """
        interval_ms = RENEWAL_INTERVAL_MS
        if self.listener.needs_saving():
            interval_ms = SHORTEST_RENEWAL_INTERVAL_MS
        passed_ms = self.clock.monotonic_ms() - self.renewed_ms
        return not self.restored or passed_ms >= interval_ms

    @defer.inlineCallbacks
    def renew(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Renews the own lease, and now and then reads those of others.

        A gateway that is parted from the store can't renew, and by the time
        its lease is over it has no proof of valid keys left either.
        """
        if self.renewals % RENEWALS_FOR_A_READ == 0:
            found = yield self.store.read(GATEWAY_TABLE)
            self.store_ahead_ms = found.now_ms - self.clock.monotonic_ms()
            self.take_gateways(found)
        yield self.renew_lease()
        return CHECK_INTERVAL_MS

    def take_gateways(self, found: stores.Rows) -> None:
        """Passes on who holds a lease, and what was used before the start.

        :param found: all rows of gateways
        """
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

    @defer.inlineCallbacks
    def renew_lease(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes the own row, with what was used of allowances."""
        self.listener.saved()
        used = {
            team: [round(tokens) for tokens in sums]
            for team, sums in self.listener.usage().items()
            if sum(sums) >= 1
        }
        now_ms = self.clock.monotonic_ms()
        content = {
            "renewed_ms": now_ms + self.store_ahead_ms,
            "host": self.host,
            "used": used,
        }
        value = base64.b64encode(json.dumps(content).encode()).decode()
        yield self.store.put(GATEWAY_TABLE, self.instance, value)
        self.renewed_ms = now_ms
        self.renewals += 1


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
