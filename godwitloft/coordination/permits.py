"""Token buckets that many processes share through the platform's table.

A bucket is a row with the number of tokens after its last change. No clock is
shared: a process credits only the time for which it has itself seen the row
unchanged, by its monotonic clock. So the bucket never grants more than its
rate, whatever the wall clocks say; under contention it grants a little less.

A process takes a batch of tokens at a time and must use it before it expires.
While the store is down, only the rest of the batch is granted.
"""

import dataclasses
import json
import random

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import errors
from godwitloft.coordination import swap
from godwitloft.store import port

TABLE = "permits"
FIRST_BACKOFF_MS = 50
LONGEST_BACKOFF_MS = 30_000
MAX_WAITING = 1000


class PermitError(errors.GodwitloftError):
    """A permit can't be granted."""


@dataclasses.dataclass(frozen=True)
class BucketSettings:
    """Rate and size of a bucket.

    :param rate_per_s: tokens added per second
    :param capacity: tokens in a full bucket
    :param batch: tokens taken at once
    :param batch_valid_ms: milliseconds until unused tokens of a batch expire
    """

    rate_per_s: float
    capacity: float
    batch: int = 1
    batch_valid_ms: int = 5_000


@dataclasses.dataclass(frozen=True)
class BucketRow:
    """Row of a bucket in the table.

    :param tokens: tokens after the last change
    :param nonce: makes the content of every write unique
    """

    tokens: float
    nonce: str


class Bucket:
    """One process's access to a shared bucket.

    :param platform: the table
    :param clock: only its monotonic time is read
    :param scheduler: for waits
    :param name: name of the bucket
    :param rng: for jitter and nonces
    :param settings: rate and size; must be the same in every process
    """

    def __init__(
        self,
        platform: port.Platform,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        name: str,
        rng: random.Random,
        settings: BucketSettings,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.scheduler = scheduler
        self.name = name
        self.rng = rng
        self.settings = settings
        self.batch_tokens = 0
        self.batch_expires_ms = 0
        self.row: port.Row | None = None
        self.row_first_seen_ms = 0
        self.is_row_known = False
        self.waiting: list[defer.Deferred[None]] = []
        self.is_running = False

    def take(self) -> defer.Deferred[None]:
        """Waits for a permit; requests of this process are served in order.

        :return: fires when a permit is granted; cancel it to stop waiting;
            fails with :class:`PermitError` if too many wait already
        """
        if len(self.waiting) >= MAX_WAITING:
            return defer.fail(
                PermitError(f"bucket {self.name!r}: too many requests wait")
            )
        granted: defer.Deferred[None] = defer.Deferred(self._on_cancel)
        self.waiting.append(granted)
        self._grant_waiting()
        if self.waiting and not self.is_running:
            self.is_running = True
            defer.ensureDeferred(self._run())
        return granted

    def _on_cancel(self, granted: defer.Deferred[None]) -> None:
        if granted in self.waiting:
            self.waiting.remove(granted)

    def _grant_waiting(self) -> None:
        if self.clock.monotonic_ms() >= self.batch_expires_ms:
            self.batch_tokens = 0
        while self.batch_tokens > 0 and self.waiting:
            self.batch_tokens -= 1
            self.waiting.pop(0).callback(None)

    async def _run(self) -> None:
        attempt = 0
        while self.waiting:
            wait_ms = 0.0
            try:
                granted = await self._refill()
                attempt = 0 if granted else attempt + 1
                if not granted:
                    wait_ms = self._backoff_ms(attempt)
            except (port.PlatformError, decode.DecodeError):
                # Tokens of a write whose answer was lost are discarded.
                attempt += 1
                wait_ms = self._backoff_ms(attempt)
            self._grant_waiting()
            if self.waiting and wait_ms:
                await swap.sleep(self.scheduler, wait_ms)
        self.is_running = False

    def _backoff_ms(self, attempt: int) -> float:
        token_ms = clocks.MS_PER_S / self.settings.rate_per_s
        missing = max(0.0, 1 - self._available())
        collision_ms = swap.backoff_ms(
            attempt, FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS, self.rng.random()
        )
        return max(1.0, missing * token_ms, collision_ms)

    def _available(self) -> float:
        """Returns the tokens that this process knows to be in the bucket."""
        if self.row is None:
            return self.settings.capacity
        found = decode_row(self.row)
        unchanged_ms = self.clock.monotonic_ms() - self.row_first_seen_ms
        credit = unchanged_ms * self.settings.rate_per_s / clocks.MS_PER_S
        return min(self.settings.capacity, found.tokens + credit)

    def _note_row(self, row: port.Row | None) -> None:
        if row != self.row or not self.is_row_known:
            self.row = row
            self.row_first_seen_ms = self.clock.monotonic_ms()
            self.is_row_known = True

    async def _refill(self) -> bool:
        if not self.is_row_known or self._available() < 1:
            self._note_row(await self.platform.read_row(TABLE, self.name))
        available = self._available()
        requested = max(self.settings.batch, len(self.waiting))
        requested = min(requested, self.settings.batch * 2)
        taken = min(int(available), requested)
        if taken < 1:
            return False
        value = BucketRow(
            available - taken, f"{self.rng.getrandbits(64):016x}"
        )
        answer = await swap.compare_and_swap(
            self.platform,
            TABLE,
            self.name,
            json.dumps(dataclasses.asdict(value)).encode(),
            self.row.version if self.row else 0,
        )
        self._note_row(answer.row)
        if isinstance(answer, port.Conflict):
            return False
        self.batch_tokens += taken
        now_ms = self.clock.monotonic_ms()
        self.batch_expires_ms = now_ms + self.settings.batch_valid_ms
        return True


def decode_row(row: port.Row) -> BucketRow:
    """Decodes the row of a bucket.

    :param row: the row
    :return: the bucket
    :raises decode.DecodeError: if the row isn't valid
    """
    where = f"bucket {row.key!r}"
    return decode.decode_json(BucketRow, row.value, where)
