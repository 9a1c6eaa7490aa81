"""Keeps this gateway's row in the store, and follows those of the others.

The row holds a lease and what must outlive the process.
"""

import dataclasses
import random
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway.allowances import sharing
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.peers import store_contact as store_contacts
from godwitloft.gateway.streams import service_versions
from godwitloft.platform import lease_row
from godwitloft.platform import owned_rows
from godwitloft.platform import restore_check
from godwitloft.platform import save_retry
from godwitloft.platform import store as stores

TABLE = "gateways"
# How often the loop checks whether a call is needed.
CHECK_INTERVAL_MS = 50
RENEWAL_INTERVAL_MS = 5_000
MIN_RENEWAL_INTERVAL_MS = 1_500
LEASE_MS = 8_000
# Gateways also exchange messages, so a gateway reads the lease rows only at
# every third renewal of its own.
RENEWALS_PER_READ = 3
# All gateways together, after a restore of the store.
MAX_REWRITES_PER_S = 100
MIN_DELAY_MS = 100


@dataclasses.dataclass(frozen=True)
class LeaseCallbacks:
    """Functions that are called with gateways' rows, or for this one's.

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
    :param on_restored_before: called at the start with the time that has
        passed since the last restore of the store was noticed, in milliseconds
    :param count_cut_back: called with what a restore of the store has cut
        back, and how many rows
    """

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
    on_restored_before: typing.Callable[[int], None]
    count_cut_back: typing.Callable[[str, int], None]


class LeaseKeeper:
    """Renews this gateway's lease and reads the others'.

    :param clock: a clock that also runs while the machine is suspended
    :param store: client of the store
    :param callbacks: called with what was read, or for what is written
    :param store_contact: when the store is known to have been up
    :param hosts: returns the IP addresses of the other gateways
    :param instance: name of this gateway's row
    :param host: IP address at which other gateways reach this one
    :param decode_row: decodes a row, or logs why it can't and returns None
    :param rng: spreads the calls of gateways after a restore of the store
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: stores.Store,
        callbacks: LeaseCallbacks,
        store_contact: store_contacts.StoreContact,
        hosts: typing.Callable[[], typing.Collection[str]],
        instance: str,
        host: str,
        decode_row: typing.Callable[..., typing.Any],
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.store = store
        self.callbacks = callbacks
        self.store_contact = store_contact
        self.hosts = hosts
        self.instance = instance
        self.host = host
        self.decode_row = decode_row
        self.rng = rng
        # Called once the rows were read for the first time.
        self.on_rows_read: typing.Callable[[], None] = _do_nothing
        self.usage_restored = False
        # When that was, on the store's clock.
        self.usage_restored_ms = 0
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
        # The store's clock minus this process's.
        self.store_clock_offset_ms = 0
        self.own_row = owned_rows.OwnedRows(store, TABLE, self.on_row_found)
        self.save_retry = save_retry.SaveRetry(
            clock, store_contact, self.is_urgent, self.urgent_delay_ms
        )

    def mark_restored(self, now_ms: int) -> None:
        """Records that the store was restored from a copy.

        :param now_ms: the current time
        """
        self.store_restored_ms = now_ms + self.store_clock_offset_ms
        self.rewrite_ms = now_ms + self.rewrite_delay_ms()

    def rewrite_delay_ms(self) -> int:
        """Returns how long to wait before the own row is written again.

        :return: a random delay, longer with more gateways, so that together
            they make at most :data:`MAX_REWRITES_PER_S` calls
        """
        gateways = 1 + len(self.hosts())
        spread_ms = gateways * clocks.MS_PER_S / MAX_REWRITES_PER_S
        return round(self.rng.uniform(0, spread_ms))

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
            result = yield self.store.read(TABLE)
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
                table=TABLE,
                rewritten=[self.instance],
            )
        if reads or not self.registered or self.is_due(self.reread_ms):
            result = yield self.store.read(TABLE)
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
        return now_ms - self.renewed_ms >= LEASE_MS

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
            holder = self.decode_row(TABLE, row, lease_row.decode)
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
        self.on_rows_read()

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

    def on_row_found(self, row: stores.Row) -> None:
        """Takes over what the process before saved, if it is its write.

        A write of it without an answer may be performed after this process
        has read the row.

        :param row: this gateway's row, with another version than was known
        """
        holder = self.decode_row(TABLE, row, lease_row.decode)
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
                if instance != self.instance and age_ms < LEASE_MS
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


def _do_nothing() -> None:
    pass
