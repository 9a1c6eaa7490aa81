"""Keeps a gateway up to date with the platform's store.

One loop each reads the configuration and the list of upstreams, and renews
this gateway's own lease.
"""

import dataclasses
import functools
import random
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway.allowances import sharing
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.peers import peer_confirmation as peer_confirmations
from godwitloft.gateway.streams import service_versions
from godwitloft.gateway.upstreams import upstream_list as upstream_lists
from godwitloft.platform import json_fields
from godwitloft.platform import lease_row
from godwitloft.platform import owned_rows
from godwitloft.platform import proof_call
from godwitloft.platform import restore_check
from godwitloft.platform import rows
from godwitloft.platform import save_retry
from godwitloft.platform import store as stores

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAM_TABLE = "servers"
GATEWAY_TABLE = "gateways"

MAX_CHANGES_WAIT_MS = 1_500
# The age of a proof that keys are valid counts from the start of the call
# that gave it, and the proof must last until the next call succeeds.
CALLS_PER_KEY_PROOF = 3
UPSTREAM_INTERVAL_MS = 800
LAPSED_UPSTREAM_INTERVAL_MS = 250
# How often a loop checks whether a call is needed. None is needed while other
# gateways confirm that this one's data is current.
CHECK_INTERVAL_MS = 50
RENEWAL_INTERVAL_MS = 5_000
MIN_RENEWAL_INTERVAL_MS = 1_500
GATEWAY_LEASE_MS = 8_000
# Gateways also exchange messages, so a gateway reads the lease rows only at
# every third renewal of its own.
RENEWALS_PER_READ = 3
# All gateways together, after a restore of the store.
MAX_REWRITES_PER_S = 100
MAX_NAMES_LOGGED = 20
MIN_DELAY_MS = 100
MAX_DELAY_MS = 400


Decoded = typing.TypeVar("Decoded")


@dataclasses.dataclass(frozen=True)
class WatchCallbacks:
    """Functions that are called with what was read from the store.

    :param on_configuration: called with each configuration that was read
    :param on_confirmed: called with a time in milliseconds and a version; at
        some moment after that time the store held that version
    :param on_upstreams: called with the upstreams by id
    :param on_gateways: called with the IP addresses of the other gateways
        that hold a lease, by instance
    :param on_usage_restored: called once with the usage by team that this
        instance saved before it was restarted, None if the store has none,
        and its age in milliseconds
    :param on_usage_found: called at the start with newer usage that the
        process before is found to have saved, and its age in milliseconds
    :param on_peer_usage_restored: called at the start with the name of
        another gateway, its IP address, its saved usage and the age in
        milliseconds
    :param on_registered: called once, when this gateway's row is written and
        the others' were read after that
    :param on_blames_restored: called at the start with what a gateway had
        saved of blames for crashes, and the age in milliseconds
    :param on_versions_restored: called at the start with the software
        versions that a gateway may have used, and the age in milliseconds
    :param usage: returns the usage of this process by team
    :param blames: returns what is blamed for crashes
    :param versions: returns the software versions that are used or will be
    :param needs_saving: returns whether one of these has changed much since
        they were saved
    :param must_save: returns whether one of these can't wait to be saved
    :param before_save: called just before they are written; returns what to
        call if that fails
    :param on_saved: called with the time at which the writing began, in
        milliseconds, once they are written
    :param on_answered: called when a call was answered, with whether one had
        failed before
    :param on_restored: called with the time at which a restore of the store
        was noticed, in milliseconds
    :param on_restored_before: called at the start with the time that has
        passed since the last restore of the store was noticed, in milliseconds
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
    on_gateways: typing.Callable[[dict[str, str]], None]
    on_usage_restored: typing.Callable[[sharing.Usage | None, int], None]
    on_usage_found: typing.Callable[[sharing.Usage, int], None]
    on_peer_usage_restored: typing.Callable[
        [str, str, sharing.Usage, int], None
    ]
    on_registered: typing.Callable[[], None]
    on_blames_restored: typing.Callable[
        [tuple[crash_reports.BlameReport, ...], int], None
    ]
    on_versions_restored: typing.Callable[[service_versions.Saved, int], None]
    usage: typing.Callable[[], sharing.Usage]
    blames: typing.Callable[[], tuple[crash_reports.BlameReport, ...]]
    versions: typing.Callable[[], service_versions.Saved]
    needs_saving: typing.Callable[[], bool]
    must_save: typing.Callable[[], bool]
    before_save: typing.Callable[[], typing.Callable[[], None]]
    on_saved: typing.Callable[[int], None]
    on_answered: typing.Callable[[bool], None]
    on_restored: typing.Callable[[int], None]
    on_restored_before: typing.Callable[[int], None]
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
    :param instance: name of this gateway's row
    :param host: IP address at which other gateways reach this one
    :param key_proof_ms: how old the proof that a key is valid may be, in
        milliseconds; 0: any age
    :param expiry_ms: time after which the store removes the row of a silent
        upstream
    :param rng: spreads the calls of gateways after a restore of the store
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        store: stores.Store,
        callbacks: WatchCallbacks,
        confirmation: peer_confirmations.PeerConfirmation,
        instance: str,
        host: str,
        key_proof_ms: int,
        expiry_ms: int,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.rng = rng
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
        self.instance = instance
        # Where to go on waiting for changes of the configuration, None to
        # read it as a whole.
        self.position: stores.Position | None = None
        # Version of the configuration that the store holds, 0 for none.
        self.stored_version = 0
        self.has_configuration = False
        self.stopped = False
        self.usage_restored = False
        # When that was, on the store's clock.
        self.usage_restored_ms = 0
        # When a configuration was confirmed before that, None if none was.
        self.early_proof_ms: int | None = None
        # When the last restore of the store was noticed, on its clock, 0 if
        # none was.
        self.store_restored_ms = 0
        self.registered = False
        self.renewed_ms = 0
        self.renewals = 0
        # When to write this gateway's row after a restore, None if it was.
        self.rewrite_ms: int | None = None
        # When to read the others' rows as this gateway's lease was over, None
        # if it wasn't.
        self.reread_ms: int | None = None
        self.list_restored = False
        # The store's clock minus this process's.
        self.store_clock_offset_ms = 0
        self.own_row = owned_rows.OwnedRows(
            store, GATEWAY_TABLE, self.on_row_found
        )
        self.save_retry = save_retry.SaveRetry(
            clock, self.store_contact, self.is_urgent, self.urgent_delay_ms
        )
        self.upstream_list = upstream_lists.UpstreamList(expiry_ms)
        self.logged_versions: dict[str, int] = {}
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
            self.needs_renewal,
            self.renew,
            self.check_after_failure,
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
        self.store_restored_ms = now_ms + self.store_clock_offset_ms
        self.position = None
        self.stored_version = 0
        self.upstream_list.mark_restored(now_ms)
        self.list_restored = True
        self.rewrite_ms = now_ms + self.rewrite_delay_ms()
        self.callbacks.on_restored(now_ms)

    def rewrite_delay_ms(self) -> int:
        """Returns how long to wait before the own row is written again.

        :return: a random delay, longer with more gateways, so that together
            they make at most :data:`MAX_REWRITES_PER_S` calls
        """
        gateways = 1 + len(self.confirmation.hosts())
        spread_ms = gateways * clocks.MS_PER_S / MAX_REWRITES_PER_S
        return round(self.rng.uniform(0, spread_ms))

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
        if self.usage_restored:
            self.callbacks.on_confirmed(asked_ms, self.stored_version)
        else:
            self.early_proof_ms = asked_ms

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

    def decode_row(
        self,
        table: str,
        row: stores.Row,
        decode: typing.Callable[[str, object], Decoded],
    ) -> Decoded | None:
        """Decodes a row and logs each version of an invalid row once.

        Whatever is wrong with one row, the others are read.

        :param table: name of the row's table
        :param row: a row that any process may have written
        :param decode: gets table and key, for error messages, and the value
        :return: the decoded row, None if it is invalid
        """
        name = f"{table}/{row.key}"
        try:
            return decode(name, row.value)
        except json_fields.RowError as error:
            if self.logged_versions.get(name) != row.version:
                self.logged_versions[name] = row.version
                events.log(
                    events.ROW_SKIPPED,
                    row=name,
                    version=row.version,
                    field=error.field,
                    reason=error.reason,
                )
        except Exception as error:
            if self.logged_versions.get(name) != row.version:
                self.logged_versions[name] = row.version
                events.log_error(
                    events.INTERNAL_ERROR,
                    error,
                    row=name,
                    version=row.version,
                )
        return None

    def needs_renewal(self) -> bool:
        """Returns whether this gateway's lease must be renewed.

        :return: True if the renewal is due; it is due earlier if the usage has
            changed much since the last one
        """
        if not self.save_retry.is_due():
            return False
        interval_ms = RENEWAL_INTERVAL_MS
        if self.callbacks.needs_saving():
            interval_ms = MIN_RENEWAL_INTERVAL_MS
        now_ms = self.clock.monotonic_ms()
        if self.is_due(self.rewrite_ms) or self.is_due(self.reread_ms):
            return True
        if not self.registered or self.callbacks.must_save():
            return True
        return now_ms - self.renewed_ms >= interval_ms

    def is_urgent(self) -> bool:
        """Returns whether much would be lost if this gateway were killed."""
        return self.callbacks.must_save() or self.callbacks.needs_saving()

    def urgent_delay_ms(self) -> int:
        """Returns the delay before a row with much unsaved is tried again.

        :return: longer with more gateways; the first that succeeds tells them
        """
        return MIN_DELAY_MS + self.rewrite_delay_ms()

    def check_after_failure(self, delay_ms: int) -> int:
        """Heeds that a renewal of the lease failed.

        :param delay_ms: the usual delay before the next one
        :return: when to look whether it is due, in milliseconds
        """
        self.save_retry.record_failure(delay_ms)
        return min(delay_ms, CHECK_INTERVAL_MS)

    @defer.inlineCallbacks
    def renew(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Renews this gateway's lease and at times reads the others'.

        The others' rows are read after this gateway's own was written: of two
        gateways that start at the same moment, at least one then knows the
        other, whatever the calls take, and tells it.

        A gateway that can't reach the store can't renew its lease. By the time
        the lease expires, its proof that keys are valid has expired too.

        :return: the delay before the next check, in milliseconds
        """
        if not self.usage_restored:
            result = yield self.store.read(GATEWAY_TABLE)
            self.set_store_clock(result.now_ms)
            self.restore_saved(result)
        rewriting = self.rewrite_ms is not None
        timeline = self.store.timeline.current
        if self.registered and self.has_lapsed():
            self.reread_ms = (
                self.clock.monotonic_ms() + self.rewrite_delay_ms()
            )
        reads = rewriting or self.renewals % RENEWALS_PER_READ == 0
        yield self.renew_lease()
        if rewriting and timeline == self.store.timeline.current:
            self.rewrite_ms = None
            self.callbacks.count_cut_back("rows_rewritten", 1)
            events.log(
                events.ROWS_CUT_BACK,
                table=GATEWAY_TABLE,
                rewritten=[self.instance],
            )
        if reads or not self.registered or self.is_due(self.reread_ms):
            result = yield self.store.read(GATEWAY_TABLE)
            self.reread_ms = None
            self.set_store_clock(result.now_ms)
            self.apply_gateways(result)
        return CHECK_INTERVAL_MS

    def is_due(self, at_ms: int | None) -> bool:
        """Returns whether something is to be done now.

        :param at_ms: when it is to be done, None for never
        """
        return at_ms is not None and self.clock.monotonic_ms() >= at_ms

    def has_lapsed(self) -> bool:
        """Returns whether this gateway's lease is over.

        :return: whether gateways may have started that don't know this one
        """
        now_ms = self.clock.monotonic_ms()
        return now_ms - self.renewed_ms >= GATEWAY_LEASE_MS

    def set_store_clock(self, now_ms: int) -> None:
        """Takes the store's time from an answer.

        :param now_ms: the time of the answer on the store's clock
        """
        self.store_clock_offset_ms = now_ms - self.clock.monotonic_ms()

    def decode_leases(
        self, result: stores.ReadResult
    ) -> typing.Iterator[tuple[str, lease_row.LeaseRow, int]]:
        """Decodes the rows of gateways.

        :param result: the rows of all gateways
        :return: instance, content and age in milliseconds of each valid row
        """
        for row in result.rows:
            holder = self.decode_row(GATEWAY_TABLE, row, lease_row.decode)
            if holder is not None:
                age_ms = max(0, result.now_ms - holder.renewed_ms)
                yield row.key, holder, age_ms

    def restore_saved(self, result: stores.ReadResult) -> None:
        """Passes on, once, what gateways had saved before this start.

        :param result: the rows of all gateways
        """
        own: tuple[sharing.Usage | None, int] = None, 0
        for instance, holder, age_ms in self.decode_leases(result):
            self.callbacks.on_blames_restored(holder.blames, age_ms)
            self.callbacks.on_versions_restored(holder.versions, age_ms)
            if instance == self.instance:
                own = holder.usage, age_ms
            else:
                self.callbacks.on_peer_usage_restored(
                    instance, holder.host, holder.usage, age_ms
                )
        self.own_row.learn(
            row for row in result.rows if row.key == self.instance
        )
        self.callbacks.on_usage_restored(*own)
        self.usage_restored = True
        self.usage_restored_ms = result.now_ms
        self.heed_former_restore(result)

    def heed_former_restore(self, result: stores.ReadResult) -> None:
        """Finds out, once, whether the store was restored before this start.

        :param result: the rows of all gateways
        """
        restored_ms = restore_check.restored_ms(
            (holder for _, holder, _ in self.decode_leases(result)),
            result.position.timeline,
            result.now_ms,
        )
        if restored_ms:
            self.store_restored_ms = restored_ms
            age_ms = max(0, result.now_ms - restored_ms)
            events.log(
                events.STORE_RESTORED_BEFORE,
                timeline=result.position.timeline,
                noticed_ms_ago=age_ms,
            )
            self.callbacks.on_restored_before(age_ms)
        if self.early_proof_ms is not None:
            self.callbacks.on_confirmed(
                self.early_proof_ms, self.stored_version
            )

    def on_row_found(self, row: stores.Row) -> None:
        """Takes over what the process before saved, if it is its write.

        A write of it without an answer may be performed after this process
        has read the row.

        :param row: this gateway's row, with another version than was known
        """
        holder = self.decode_row(GATEWAY_TABLE, row, lease_row.decode)
        if holder is None or holder.renewed_ms >= self.usage_restored_ms:
            return
        store_now_ms = self.clock.monotonic_ms() + self.store_clock_offset_ms
        age_ms = max(0, store_now_ms - holder.renewed_ms)
        self.callbacks.on_blames_restored(holder.blames, age_ms)
        self.callbacks.on_versions_restored(holder.versions, age_ms)
        self.callbacks.on_usage_found(holder.usage, age_ms)

    def apply_gateways(self, result: stores.ReadResult) -> None:
        """Passes on the other holders of leases.

        :param result: the rows of all gateways, read after the own was written
        """
        self.callbacks.on_gateways(
            {
                instance: holder.host
                for instance, holder, age_ms in self.decode_leases(result)
                if instance != self.instance and age_ms < GATEWAY_LEASE_MS
            }
        )
        if not self.registered:
            self.registered = True
            self.callbacks.on_registered()

    @defer.inlineCallbacks
    def renew_lease(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes this gateway's row with its lease and its usage."""
        mark_unsaved = self.callbacks.before_save()
        now_ms = self.clock.monotonic_ms()

        def values() -> owned_rows.Values:
            row = lease_row.LeaseRow(
                host=self.host,
                renewed_ms=now_ms + self.store_clock_offset_ms,
                usage=self.callbacks.usage(),
                blames=self.callbacks.blames(),
                versions=self.callbacks.versions(),
                timeline=self.store.timeline.current,
                restored_ms=self.store_restored_ms,
            )
            return {self.instance: lease_row.encode(row)}

        try:
            yield self.own_row.write(values)
        except Exception:
            mark_unsaved()
            raise
        self.renewed_ms = now_ms
        self.renewals += 1
        self.save_retry.record_success()
        self.store_contact.record(now_ms)
        self.callbacks.on_saved(now_ms)
