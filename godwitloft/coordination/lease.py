"""Leases with fencing numbers in the platform's table.

A lease is a row that is never deleted, because it keeps the fencing number
(epoch), which increases by one whenever the holder changes. No clock is
shared. The holder counts its lease from just before it sent the write, less a
margin. Any other process counts from when it first saw the row in its current
version, and takes over only after the row has stayed unchanged for the whole
lease plus the margin.
"""

import dataclasses
import json
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import events
from godwitloft.coordination import swap
from godwitloft.store import port

TABLE = "leases"


@dataclasses.dataclass(frozen=True)
class LeaseSettings:
    """Durations of a lease, in milliseconds.

    :param duration_ms: time from a renewal to expiry
    :param margin_ms: allows for clock drift during a lease and for the time
        between the holder's last check and the arrival of what it sends
    :param renew_ms: time between renewals
    :param takeover_delay_ms: time during which a new holder sends nothing
        after taking over from one that didn't release the lease; for
        upstreams that don't check the fencing number, set it to the longest
        duration of an order
    """

    duration_ms: int = 20_000
    margin_ms: int = 1_000
    renew_ms: int = 5_000
    takeover_delay_ms: int = 0


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """Row of a lease in the table.

    :param epoch: fencing number of the holder
    :param holder: unique name of the holder's process
    :param duration_ms: duration of the holder's lease in milliseconds
    :param released: whether the holder released it
    :param mark: highest generation for which a holder announced an order
    :param nonce: makes the content of every write unique
    """

    epoch: int
    holder: str
    duration_ms: int
    released: bool
    mark: int
    nonce: str


class Lease:
    """Acquires, renews and releases one lease for one process.

    Call :meth:`start` when there is work to do under the lease and
    :meth:`stop` when it is done: renewing thousands of idle leases would
    exceed the table's write rate.

    :param platform: the table
    :param clock: only its monotonic time is read
    :param scheduler: for renewals
    :param name: name of the lease
    :param holder: name of this process, unique across restarts
    :param rng: for jitter and nonces
    :param settings: durations
    :param on_change: called when the lease was acquired, renewed or lost
    """

    def __init__(
        self,
        platform: port.Platform,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        name: str,
        holder: str,
        rng: random.Random,
        settings: LeaseSettings = LeaseSettings(),
        on_change: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.scheduler = scheduler
        self.name = name
        self.holder = holder
        self.rng = rng
        self.settings = settings
        self.on_change = on_change
        self.epoch = 0
        self.highest_epoch = 0
        self.mark = 0
        self.requested_mark = 0
        self.expires_ms = 0
        self.blocked_until_ms = 0
        # A write sent before the latest invalidation doesn't extend the lease.
        self.invalidations = 0
        self.is_requested = False
        self.is_running = False
        self.row: port.Row | None = None
        self.row_first_seen_ms = 0
        self.wait_end: defer.Deferred[None] | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process certainly holds the lease."""
        return self.remaining_ms() > 0

    def remaining_ms(self) -> int:
        """Returns how long this process still certainly holds the lease.

        :return: milliseconds; 0 if it doesn't hold the lease
        """
        if not self.epoch:
            return 0
        usable_ms = self.expires_ms - self.settings.margin_ms
        return max(0, usable_ms - self.clock.monotonic_ms())

    def covers(self, duration_ms: int) -> bool:
        """Tells whether an operation started now ends within the lease.

        Call it immediately before sending.

        :param duration_ms: longest duration of the operation, in
            milliseconds
        :return: whether the operation certainly ends within the lease and
            the operations of earlier holders have certainly ended
        """
        if self.clock.monotonic_ms() < self.blocked_until_ms:
            return False
        return self.is_held and self.remaining_ms() >= duration_ms

    def start(self) -> None:
        """Acquires the lease and renews it until :meth:`stop`."""
        self.is_requested = True
        if not self.is_running:
            self.is_running = True
            defer.ensureDeferred(self._run()).addErrback(self._on_failure)

    def stop(self) -> None:
        """Releases the lease; no operation under it may be in progress."""
        self.is_requested = False
        self.wake()

    def invalidate(self) -> None:
        """Treats the lease as expired until renewed, as after a pause."""
        self.invalidations += 1
        self.expires_ms = 0
        self.wake()

    def abandon(self) -> None:
        """Gives up the lease: an upstream has seen a higher fencing number."""
        self._clear()
        self.wake()

    def request_mark(self, mark: int) -> None:
        """Raises the mark in the row with an immediate renewal.

        :param mark: generation for which an order is about to be sent
        """
        if mark > self.requested_mark:
            self.requested_mark = mark
            self.wake()

    def wake(self) -> None:
        """Ends the wait for the next renewal or read of the row."""
        waiting = self.wait_end
        self.wait_end = None
        if waiting is not None:
            waiting.callback(None)

    async def _run(self) -> None:
        failures = 0
        while self.is_requested:
            try:
                wait_ms = await self._step()
                failures = 0
            except (port.PlatformError, decode.DecodeError):
                failures += 1
                wait_ms = swap.backoff_ms(
                    failures, 100, self.settings.renew_ms, self.rng.random()
                )
            if self.is_requested and wait_ms > 0:
                await self._wait(wait_ms)
        self.is_running = False
        await self._release()

    async def _step(self) -> float:
        """Renews, acquires or watches; returns the wait in milliseconds."""
        if self.epoch:
            return await self._renew()
        row = await self.platform.read_row(TABLE, self.name)
        self._note_row(row)
        found = decode_row(row)
        if found is not None and not self._is_free(found):
            return self._poll_wait_ms(found)
        return await self._acquire(found)

    def _is_free(self, found: LeaseRow) -> bool:
        if found.released or found.holder == self.holder:
            return True
        return self._unchanged_ms() >= self._takeover_ms(found)

    def _poll_wait_ms(self, found: LeaseRow) -> float:
        until_takeover_ms = self._takeover_ms(found) - self._unchanged_ms()
        poll_ms = min(until_takeover_ms, self.settings.renew_ms)
        return poll_ms * (1 + self.rng.random() / 10) + 1

    def _takeover_ms(self, found: LeaseRow) -> int:
        return found.duration_ms + self.settings.margin_ms

    def _unchanged_ms(self) -> int:
        return self.clock.monotonic_ms() - self.row_first_seen_ms

    def _note_row(self, row: port.Row | None) -> None:
        if row != self.row:
            self.row = row
            self.row_first_seen_ms = self.clock.monotonic_ms()

    async def _acquire(self, found: LeaseRow | None) -> float:
        # Epochs must not restart if the row was deleted by hand.
        self.highest_epoch = max(
            self.highest_epoch, found.epoch if found else 0
        )
        epoch = self.highest_epoch + 1
        mark = max(found.mark if found else 0, self.requested_mark)
        sent_ms = self.clock.monotonic_ms()
        invalidations = self.invalidations
        answer = await self._write(epoch, mark, released=False)
        self._note_row(answer.row)
        if isinstance(answer, port.Conflict):
            return 1
        self.epoch = epoch
        self.mark = mark
        if invalidations == self.invalidations:
            self.expires_ms = sent_ms + self.settings.duration_ms
        if found is not None and not found.released:
            now_ms = self.clock.monotonic_ms()
            self.blocked_until_ms = now_ms + self.settings.takeover_delay_ms
        events.log(events.LEASE_TAKEN, lease=self.name, epoch=epoch)
        self.on_change()
        if invalidations != self.invalidations:
            return 0
        return self._renew_wait_ms()

    async def _renew(self) -> float:
        epoch = self.epoch
        mark = max(self.mark, self.requested_mark)
        sent_ms = self.clock.monotonic_ms()
        invalidations = self.invalidations
        answer = await self._write(epoch, mark, released=False)
        self._note_row(answer.row)
        if epoch != self.epoch:
            return 1
        if isinstance(answer, port.Conflict):
            found = decode_row(answer.row)
            if found is None or found.holder != self.holder:
                self._clear()
            # Otherwise an earlier renewal took effect late.
            return 1
        self.mark = mark
        if invalidations != self.invalidations:
            return 0
        self.expires_ms = sent_ms + self.settings.duration_ms
        self.on_change()
        return self._renew_wait_ms()

    def _renew_wait_ms(self) -> float:
        if self.requested_mark > self.mark:
            return 0
        return self.settings.renew_ms * (0.9 + self.rng.random() / 10)

    async def _release(self) -> None:
        """Releases the row; if that fails, the lease expires by itself."""
        epoch = self.epoch
        mark = self.mark
        self._clear()
        if not epoch or self.row is None:
            return
        try:
            answer = await self._write(epoch, mark, released=True)
        except port.PlatformError:
            return
        self._note_row(answer.row)

    async def _write(
        self, epoch: int, mark: int, released: bool
    ) -> port.Swapped | port.Conflict:
        value = LeaseRow(
            epoch=epoch,
            holder=self.holder,
            duration_ms=self.settings.duration_ms,
            released=released,
            mark=mark,
            nonce=f"{self.rng.getrandbits(64):016x}",
        )
        return await swap.compare_and_swap(
            self.platform,
            TABLE,
            self.name,
            json.dumps(dataclasses.asdict(value)).encode(),
            self.row.version if self.row else 0,
        )

    def _clear(self) -> None:
        if self.epoch:
            events.log(events.LEASE_LOST, lease=self.name, epoch=self.epoch)
        self.epoch = 0
        self.expires_ms = 0
        self.blocked_until_ms = 0
        self.on_change()

    async def _wait(self, duration_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        self.wait_end = waiting
        timer = self.scheduler.callLater(
            duration_ms / clocks.MS_PER_S, self.wake
        )
        await waiting
        if timer.active():
            timer.cancel()

    def _on_failure(self, problem: failure.Failure) -> None:
        self.is_running = False
        self._clear()
        events.log(
            events.LEASE_FAILED,
            lease=self.name,
            reason=problem.getTraceback(),
        )


def decode_row(row: port.Row | None) -> LeaseRow | None:
    """Decodes the row of a lease.

    :param row: the row, None if there is none
    :return: the lease, None without a row
    :raises decode.DecodeError: if the row isn't valid
    """
    if row is None:
        return None
    where = f"lease {row.key!r}"
    return decode.decode_json(LeaseRow, row.value, where)
