"""Keeps a gateway up to date with the platform's store.

One loop each reads the configuration and the list of upstreams, and keeps this
gateway's row.
"""

import dataclasses
import functools
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway.peers import peer_confirmation as peer_confirmations
from godwitloft.gateway.upstreams import upstream_list as upstream_lists
from godwitloft.platform import lease_keeper
from godwitloft.platform import proof_call
from godwitloft.platform import rows
from godwitloft.platform import store as stores

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAM_TABLE = "servers"

MAX_CHANGES_WAIT_MS = 1_500
# The age of a proof that keys are valid counts from the start of the call
# that gave it, and the proof must last until the next call succeeds.
CALLS_PER_KEY_PROOF = 3
UPSTREAM_INTERVAL_MS = 800
LAPSED_UPSTREAM_INTERVAL_MS = 250
# How often a loop checks whether a call is needed. None is needed while other
# gateways confirm that this one's data is current.
CHECK_INTERVAL_MS = 50
MAX_NAMES_LOGGED = 20
MIN_DELAY_MS = 100
MAX_DELAY_MS = 400


@dataclasses.dataclass(frozen=True)
class WatchCallbacks:
    """Functions that are called with what was read from the store.

    :param on_configuration: called with each configuration that was read
    :param on_confirmed: called with a time in milliseconds and a version; at
        some moment after that time the store held that version
    :param on_upstreams: called with the upstreams by id
    :param on_answered: called when a call was answered, with whether one had
        failed before
    :param on_restored: called with the time at which a restore of the store
        was noticed, in milliseconds
    :param settle_left_ms: returns how long confirmations don't count yet after
        a restore
    :param count_cut_back: called with what a restore of the store has cut
        back, and how many rows
    :param on_operator_rows: called with rows of the operators' table, whether
        they are all or those that have changed, and when they were asked for
    :param needs_operator_rows: returns whether that table must be read for
        other rows than the configuration
    """

    on_configuration: typing.Callable[[model.Configuration], None]
    on_confirmed: typing.Callable[[int, int], None]
    on_upstreams: typing.Callable[[dict[str, model.Upstream]], None]
    on_answered: typing.Callable[[bool], None]
    on_restored: typing.Callable[[int], None]
    settle_left_ms: typing.Callable[[], int]
    count_cut_back: typing.Callable[[str, int], None]
    on_operator_rows: typing.Callable[[stores.ReadResult, bool, int], None]
    needs_operator_rows: typing.Callable[[], bool]


class Backoff:
    """A delay that doubles with each failure and is reset by a success.

    :param name: name of the loop, for the log
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.failures = 0

    def record_success(self) -> bool:
        """Resets the delay and logs the end of a series of failures.

        :return: whether there was one
        """
        if not self.failures:
            return False
        events.log(
            events.STORE_RECOVERED, loop=self.name, failures=self.failures
        )
        self.failures = 0
        return True

    def record_failure(self, error: Exception) -> int:
        """Counts a failure and logs the first of a series.

        :param error: the error
        :return: the delay before the next attempt, in milliseconds
        """
        if self.failures == 0:
            events.log(events.STORE_FAILED, loop=self.name, reason=str(error))
        self.failures += 1
        doublings = min(self.failures - 1, 8)
        return min(MAX_DELAY_MS, MIN_DELAY_MS << doublings)


class Watch:
    """The loops that read from and write to the store.

    :param reactor: the Twisted reactor
    :param clock: a clock that also runs while the machine is suspended
    :param store: client of the store
    :param callbacks: called with what was read
    :param confirmation: whether other gateways confirm that this one's data
        is current
    :param lease: keeps this gateway's row
    :param decode_row: decodes a row, or logs why it can't and returns None
    :param key_proof_ms: how old the proof that a key is valid may be, in
        milliseconds; 0: any age
    :param expiry_ms: time after which the store removes the row of a silent
        upstream
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        store: stores.Store,
        callbacks: WatchCallbacks,
        confirmation: peer_confirmations.PeerConfirmation,
        lease: lease_keeper.LeaseKeeper,
        decode_row: typing.Callable[..., typing.Any],
        key_proof_ms: int,
        expiry_ms: int,
    ) -> None:
        self.lease = lease
        lease.on_rows_read = self.pass_early_proof
        self.decode_row = decode_row
        self.key_proof_ms = key_proof_ms
        self.changes_wait_ms = MAX_CHANGES_WAIT_MS
        if key_proof_ms > 0:
            self.changes_wait_ms = min(
                MAX_CHANGES_WAIT_MS, key_proof_ms // CALLS_PER_KEY_PROOF
            )
        self.reactor = reactor
        self.clock = clock
        self.store = store
        self.callbacks = callbacks
        self.confirmation = confirmation
        self.store_contact = confirmation.store_contact
        # Where to go on waiting for changes of the configuration, None to
        # read it as a whole.
        self.position: stores.Position | None = None
        # Version of the configuration that the store holds, 0 for none.
        self.stored_version = 0
        self.has_configuration = False
        self.stopped = False
        # When a configuration was confirmed before the rows of gateways were
        # read, None if none was.
        self.early_proof_ms: int | None = None
        self.list_restored = False
        self.upstream_list = upstream_lists.UpstreamList(expiry_ms)
        # Upstreams that are not listed and were kept, as last logged.
        self.kept: typing.AbstractSet[str] = frozenset()

    def start(self) -> None:
        """Starts all loops."""
        self.start_loop(
            "configuration", self.needs_configuration, self.read_configuration
        )
        self.start_loop("upstreams", self.needs_upstreams, self.read_upstreams)
        self.start_loop(
            "gateways",
            self.lease.needs_renewal,
            self.lease.renew,
            self.lease.check_after_failure,
        )

    def stop(self) -> None:
        """Ends each loop after its current call."""
        self.stopped = True

    def start_loop(
        self,
        name: str,
        needed: typing.Callable[[], bool],
        step: typing.Callable[[], "defer.Deferred[int]"],
        after_failure: typing.Callable[[int], int] | None = None,
    ) -> None:
        """Starts one loop.

        :param name: name of the loop, for the log
        :param needed: returns whether the store must be called now
        :param step: one round of the loop; its result is the delay before the
            next one, in milliseconds
        :param after_failure: gets the delay after a failure and returns when
            to look whether a call is needed, in milliseconds
        """
        backoff = Backoff(name)

        def run() -> None:
            if self.stopped:
                return
            if needed():
                defer.maybeDeferred(step).addCallbacks(on_success, on_failure)
            else:
                schedule(CHECK_INTERVAL_MS)

        def on_success(delay_ms: int) -> None:
            self.callbacks.on_answered(backoff.record_success())
            schedule(delay_ms)

        def on_failure(failure: typing.Any) -> None:
            error = failure.value
            if isinstance(error, stores.HistoryLostError):
                self.position = None
            elif not isinstance(error, stores.StoreError):
                events.log_error(events.INTERNAL_ERROR, error, task=name)
            delay_ms = backoff.record_failure(error)
            if after_failure is not None:
                delay_ms = after_failure(delay_ms)
            schedule(delay_ms)

        def schedule(delay_ms: int) -> None:
            self.reactor.callLater(delay_ms / clocks.MS_PER_S, run)

        run()

    def on_store_restored(self, before: int, timeline: int) -> None:
        """Reads everything again, and writes what the store has lost.

        :param before: number of the timeline that has ended
        :param timeline: number of the new one
        """
        events.log(events.STORE_RESTORED, before=before, timeline=timeline)
        self.callbacks.count_cut_back("restores", 1)
        now_ms = self.clock.monotonic_ms()
        self.position = None
        self.stored_version = 0
        self.upstream_list.mark_restored(now_ms)
        self.list_restored = True
        self.lease.mark_restored(now_ms)
        self.callbacks.on_restored(now_ms)

    def needs_configuration(self) -> bool:
        """Returns whether the configuration must be read from the store.

        :return: True if none was read yet, if no other gateway confirms that
            it is current, or if other rows of its table are needed
        """
        return (
            not self.has_configuration
            or self.confirmation.needs_version()
            or self.callbacks.needs_operator_rows()
        )

    @defer.inlineCallbacks
    def read_configuration(
        self,
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads the configuration, or waits for it to change.

        :return: the delay before the next call, in milliseconds
        """
        settle_ms = self.callbacks.settle_left_ms()
        position = self.position
        wait_ms = min(
            proof_call.longest_wait_ms(
                self.key_proof_ms,
                self.confirmation.proof_age_ms(),
                self.changes_wait_ms,
            ),
            settle_ms or self.changes_wait_ms,
        )
        proof = yield proof_call.ProofCall(
            self.reactor,
            self.clock,
            functools.partial(self.call_for_configuration, position),
            functools.partial(self.confirm_late, self.store.timeline.current),
        ).call(wait_ms if position is not None else 0)
        started_ms, result = proof.started_ms, proof.result
        is_known = position is not None
        for row in result.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                is_known = self.apply_configuration(row) or is_known
        self.callbacks.on_operator_rows(result, position is None, started_ms)
        if is_known:
            self.has_configuration = True
            self.confirmation.mark_version_read()
            # What settles is confirmed at once by reading it again.
            is_settling = settle_ms > 0 and position is not None
            self.position = None if is_settling else result.position
            self.confirm(started_ms)
            # A proof that can't be renewed must not lead to call after call.
            return 0 if wait_ms > 0 or position is None else MIN_DELAY_MS
        return MIN_DELAY_MS

    def confirm_late(
        self,
        timeline: int | None,
        proof: proof_call.Proof[stores.ReadResult],
    ) -> None:
        """Confirms the configuration by the answer to one more call.

        :param timeline: the store's timeline when the call was started
        :param proof: its answer; the position stays, so that the next call
            reads what has changed
        """
        if timeline == self.store.timeline.current and not proof.result.rows:
            self.confirm(proof.started_ms)

    def confirm(self, asked_ms: int) -> None:
        """Passes on that the configuration was confirmed.

        A process that has just started first finds out whether the store was
        restored, so that it may hold an older one.

        :param asked_ms: when the confirmation was requested
        """
        if self.lease.usage_restored:
            self.callbacks.on_confirmed(asked_ms, self.stored_version)
        else:
            self.early_proof_ms = asked_ms

    def pass_early_proof(self) -> None:
        """Passes on a confirmation that had to wait for the gateways' rows."""
        asked_ms = self.early_proof_ms
        if asked_ms is not None:
            self.early_proof_ms = None
            self.callbacks.on_confirmed(asked_ms, self.stored_version)

    def call_for_configuration(
        self, position: stores.Position | None, wait_ms: int
    ) -> "defer.Deferred[stores.ReadResult]":
        """Starts a call that reads the configuration or its changes.

        :param position: position after which changes are read, None to read
            it as a whole
        :param wait_ms: longest wait for a change
        """
        if position is None:
            return self.store.read(
                OPERATOR_TABLE, answer_ms=proof_call.ANSWER_MS
            )
        return self.store.wait_for_changes(
            OPERATOR_TABLE, position, wait_ms, proof_call.ANSWER_MS
        )

    def apply_configuration(self, row: stores.Row) -> bool:
        """Decodes a configuration and passes it on.

        :param row: the operators' row
        :return: whether it could be decoded
        """
        configuration = self.decode_row(
            OPERATOR_TABLE, row, rows.decode_configuration
        )
        if configuration is None:
            return False
        self.stored_version = configuration.version
        self.callbacks.on_configuration(configuration)
        return True

    def needs_upstreams(self) -> bool:
        """Returns whether the upstreams must be read from the store.

        :return: True if upstreams whose rows are gone may come back, if ones
            that were left out after a restore count again, or if no other
            gateway confirms that the list is current
        """
        now_ms = self.clock.monotonic_ms()
        return (
            self.upstream_list.needs_update(now_ms)
            or self.confirmation.needs_list()
        )

    @defer.inlineCallbacks
    def read_upstreams(
        self,
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads the whole list of upstreams.

        :return: the delay before the next call, in milliseconds
        """
        started_ms = self.clock.monotonic_ms()
        result = yield self.store.read_all(UPSTREAM_TABLE)
        upstreams: dict[str, model.Upstream] = {}
        for row in result.rows:
            upstream = self.decode_row(
                UPSTREAM_TABLE,
                row,
                functools.partial(rows.decode_upstream, row.key),
            )
            if upstream is not None:
                upstreams[row.key] = upstream
        now_ms = self.clock.monotonic_ms()
        confirmed_ms = self.confirmation.list_confirmed_ms()
        self.store_contact.record(started_ms)
        if confirmed_ms is not None:
            if not self.store_contact.was_up_since(confirmed_ms):
                self.upstream_list.mark_returned(now_ms, confirmed_ms)
        self.confirmation.record_list(upstreams, started_ms)
        alive = self.upstream_list.update(
            upstreams,
            now_ms,
            self.upstream_list.is_outage_disproved(
                self.store_contact.was_up_since
            ),
        )
        self.report_kept(alive.keys() - upstreams.keys(), confirmed_ms)
        if self.list_restored:
            self.list_restored = False
            self.report_cut_back(
                lost=alive.keys() - upstreams.keys(),
                returned=upstreams.keys() - alive.keys(),
            )
        self.callbacks.on_upstreams(alive)
        elapsed_ms = self.clock.monotonic_ms() - started_ms
        interval_ms = UPSTREAM_INTERVAL_MS
        if self.upstream_list.has_lapsed():
            interval_ms = LAPSED_UPSTREAM_INTERVAL_MS
        return max(MIN_DELAY_MS, interval_ms - elapsed_ms)

    def report_kept(
        self, kept: typing.AbstractSet[str], confirmed_ms: int | None
    ) -> None:
        """Logs which upstreams are kept although they are not listed.

        :param kept: ids of these upstreams
        :param confirmed_ms: when the list was last known to be current, before
            it was read
        """
        if kept and kept != self.kept:
            age_ms = None
            if confirmed_ms is not None:
                age_ms = self.clock.monotonic_ms() - confirmed_ms
            events.log(
                events.UPSTREAMS_KEPT,
                upstreams=sorted(kept)[:MAX_NAMES_LOGGED],
                confirmed_ms_ago=age_ms,
            )
        self.kept = kept

    def report_cut_back(
        self, lost: typing.Iterable[str], returned: typing.Iterable[str]
    ) -> None:
        """Logs which rows of upstreams a restore has cut back.

        :param lost: upstreams whose rows are missing
        :param returned: upstreams that had ended and are listed again
        """
        lost, returned = sorted(lost), sorted(returned)
        self.callbacks.count_cut_back("rows_lost", len(lost))
        self.callbacks.count_cut_back("rows_returned", len(returned))
        if lost or returned:
            events.log(
                events.ROWS_CUT_BACK,
                table=UPSTREAM_TABLE,
                lost=lost[:MAX_NAMES_LOGGED],
                returned=returned[:MAX_NAMES_LOGGED],
            )
