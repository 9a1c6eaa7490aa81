"""Claims on idempotency keys: a call with a key runs at most once.

A claim is one row of the platform's table. It is written after an agent has
asked for the call and before the body is sent, and names the run, the agent
and the agent's incarnation (one start of its process). After a crash, the
row therefore tells which agent to ask. Another attempt may replace the row
and run only if that same incarnation confirms that the run never started
there and never will. All attempts write with compare-and-swap, so that only
one of them succeeds.

docs/OUTCOMES.md compares this with claiming before the call is queued.
"""

import dataclasses
import enum
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft.coordination import claims_row
from godwitloft.coordination import swap
from godwitloft.coordination import write_budget
from godwitloft.store import port

TABLE = "claims"
FIRST_BACKOFF_MS = 20
LONGEST_BACKOFF_MS = 1_000
ATTEMPT_TIMEOUT_MS = 5_000
ASK_TIMEOUT_MS = 3_000
POLL_INTERVAL_MS = 250
UNKNOWN_RETRY_MS = 2_000
FINISH_TIMEOUT_MS = 60_000
RELEASE_TIMEOUT_MS = 60_000
ROW_TIME_TO_LIVE_MS = 24 * 60 * 60 * 1000


class Proof(enum.Enum):
    """An agent's answer to the question whether it started a run.

    ``NEVER_STARTED`` is binding: that incarnation did not start the run and
    ignores a dispatch of it that arrives later.
    """

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Proceed:
    """The call may be queued; its key must be claimed before dispatch.

    :param version: version of the row that the claim replaces, 0 for none
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The call has already ended; its answer is on record.

    :param answer: the answer that the first caller got
    """

    answer: claims_row.Answer


@dataclasses.dataclass(frozen=True)
class BodyMismatch:
    """The key belongs to a call with another body."""


@dataclasses.dataclass(frozen=True)
class InProgress:
    """The call still runs elsewhere, and the lookup timed out."""


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """An earlier attempt may have run, and its outcome can't be found."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store did not answer in time; this attempt was not dispatched.

    :param reason: text of the last error, for display
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """The key is claimed for this attempt, which may now be dispatched.

    :param key: key of the row
    :param row: content of the row
    :param version: version of the row
    """

    key: str
    row: claims_row.Row
    version: int


@dataclasses.dataclass(frozen=True)
class AlreadyClaimed:
    """Another attempt holds the key; look the key up again."""


LookupResult = (
    Proceed
    | Recorded
    | BodyMismatch
    | InProgress
    | OutcomeUnknown
    | Unavailable
)
ClaimResult = HeldClaim | AlreadyClaimed | Unavailable
AskAgent = typing.Callable[[str, str, str], defer.Deferred[Proof]]


class Claims:
    """Looks up and claims keys, and records the outcome of their calls.

    :param platform: the table and the object store
    :param scheduler: a reactor, or a manually advanced clock in tests
    :param budget: limits the rate of writes
    :param ask: takes ``(agent, agent incarnation, run id)`` and returns what
        that incarnation says about the run; ``UNKNOWN`` if it can't be
        reached
    :param random_source: for jitter between retries
    """

    def __init__(
        self,
        platform: port.Platform,
        scheduler: interfaces.IReactorTime,
        budget: write_budget.WriteBudget,
        ask: AskAgent,
        random_source: random.Random | None = None,
    ) -> None:
        self.platform = platform
        self.scheduler = scheduler
        self.budget = budget
        self.ask = ask
        self.random = random_source or random.Random()

    def now_ms(self) -> float:
        """Returns the scheduler's time.

        :return: milliseconds since some fixed point
        """
        return self.scheduler.seconds() * clocks.MS_PER_S

    async def look_up(
        self, key: str, fingerprint: str, timeout_ms: float
    ) -> LookupResult:
        """Decides whether a call may run, before it is queued.

        :param key: from :func:`claims_row.row_key`
        :param fingerprint: hash of the target and body of the call
        :param timeout_ms: how long to try, in milliseconds
        :return: what to do with the call
        """
        deadline_ms = self.now_ms() + timeout_ms
        retry_until_ms = self.now_ms() + min(UNKNOWN_RETRY_MS, timeout_ms / 2)
        while True:
            try:
                found = await self._read(key, deadline_ms)
            except port.PlatformError as error:
                return Unavailable(str(error))
            if found is None:
                return Proceed(0)
            result = await self._decide(found, key, fingerprint, deadline_ms)
            if (
                isinstance(result, OutcomeUnknown)
                and self.now_ms() < retry_until_ms
            ):
                # The entry of the first attempt may be about to record the
                # outcome.
                result = None
            if result is not None:
                return result
            if self.now_ms() + POLL_INTERVAL_MS > deadline_ms:
                return InProgress()
            await swap.sleep(self.scheduler, POLL_INTERVAL_MS)

    async def _decide(
        self, found: port.Row, key: str, fingerprint: str, deadline_ms: float
    ) -> LookupResult | None:
        """Decides on an existing row; None means to read it again."""
        try:
            row = claims_row.read(key, found.value)
        except claims_row.RowError:
            # The writer of the row may have run the call.
            return OutcomeUnknown()
        if row.fingerprint != fingerprint:
            return BodyMismatch()
        if row.state is claims_row.State.DONE:
            return await self._read_answer(row, deadline_ms)
        proof = await self._ask_agent(row)
        if proof is Proof.NEVER_STARTED:
            return Proceed(found.version)
        return None if proof is Proof.RUNNING else OutcomeUnknown()

    async def _ask_agent(self, row: claims_row.Row) -> Proof:
        answer = self.ask(row.agent, row.agent_incarnation, row.run_id)
        answer.addTimeout(ASK_TIMEOUT_MS / clocks.MS_PER_S, self.scheduler)
        try:
            return await answer
        except defer.TimeoutError:
            return Proof.UNKNOWN

    async def _read_answer(
        self, row: claims_row.Row, deadline_ms: float
    ) -> Recorded | Unavailable:
        body = None
        if row.answer_object:
            name = row.answer_object
            try:
                body = await self._retry(
                    deadline_ms, lambda: self.platform.read_object(name)
                )
            except port.PlatformError as error:
                return Unavailable(str(error))
        return Recorded(claims_row.recorded_answer(row, body))

    async def claim(
        self, key: str, row: claims_row.Row, version: int, timeout_ms: float
    ) -> ClaimResult:
        """Claims a key for the run that is about to be dispatched.

        A lost answer is resolved by reading the row back and writing the
        same row again: the write can take effect only once.

        :param key: key of the row
        :param row: content, in state ``running``
        :param version: version from :class:`Proceed` or :class:`HeldClaim`
        :param timeout_ms: how long to try, in milliseconds; afterwards the
            call must not be dispatched, even if the write takes effect later
        :return: whether the run may be dispatched
        """
        deadline_ms = self.now_ms() + timeout_ms
        try:
            answer = await self._write(key, row, version, deadline_ms, True)
        except port.PlatformError as error:
            self._abandon(key, row)
            return Unavailable(str(error))
        if isinstance(answer, port.Conflict):
            return AlreadyClaimed()
        return HeldClaim(key, row, answer.row.version)

    async def finish(
        self, claim: HeldClaim, answer: claims_row.Answer
    ) -> bool:
        """Records the outcome of a claimed call, for callers that retry.

        :param claim: the claim
        :param answer: the answer to the caller
        :return: whether it is recorded; if not, later attempts get an
            unknown outcome
        """
        deadline_ms = self.now_ms() + FINISH_TIMEOUT_MS
        row = claims_row.finished_row(claim.row, claim.key, answer)
        name = row.answer_object
        body = answer.body or b""
        try:
            if name:
                await self._retry(
                    deadline_ms,
                    lambda: self.platform.write_object(name, body),
                    permit=lambda: self.budget.take(False),
                )
            written = await self._write(
                claim.key, row, claim.version, deadline_ms, False
            )
        except port.PlatformError:
            return False
        return isinstance(written, port.Swapped)

    async def release(self, claim: HeldClaim) -> bool:
        """Deletes a claim whose run is known never to have started.

        :param claim: the claim
        :return: whether the row is deleted; if not, the next attempt asks
            the agent that the row names
        """
        deadline_ms = self.now_ms() + RELEASE_TIMEOUT_MS
        key, version = claim.key, claim.version
        try:
            await self._retry(
                deadline_ms,
                lambda: self.platform.delete_row(TABLE, key, version),
                permit=lambda: self.budget.take(False),
            )
        except port.PlatformError:
            return False
        return True

    def _abandon(self, key: str, row: claims_row.Row) -> None:
        """Deletes the row of an attempt that timed out before dispatch."""

        async def remove() -> None:
            deadline_ms = self.now_ms() + RELEASE_TIMEOUT_MS
            try:
                found = await self._read(key, deadline_ms)
            except port.PlatformError:
                return
            if found is not None and found.value == claims_row.encode(row):
                await self.release(HeldClaim(key, row, found.version))

        defer.ensureDeferred(remove())

    async def _read(self, key: str, deadline_ms: float) -> port.Row | None:
        return await self._retry(
            deadline_ms, lambda: self.platform.read_row(TABLE, key)
        )

    async def _write(
        self,
        key: str,
        row: claims_row.Row,
        version: int,
        deadline_ms: float,
        urgent: bool,
    ) -> port.Swapped | port.Conflict:
        value = claims_row.encode(row)

        def write() -> defer.Deferred[port.Swapped | port.Conflict]:
            return defer.ensureDeferred(
                swap.compare_and_swap(
                    self.platform,
                    TABLE,
                    key,
                    value,
                    version,
                    time_to_live_ms=ROW_TIME_TO_LIVE_MS,
                )
            )

        while True:
            answer = await self._retry(
                deadline_ms, write, permit=lambda: self.budget.take(urgent)
            )
            lost = isinstance(answer, port.Conflict) and answer.row is None
            if not (lost and version == 0):
                return answer
            # No row was found after a lost answer: write again.

    async def _retry(
        self,
        deadline_ms: float,
        attempt: typing.Callable[[], defer.Deferred[typing.Any]],
        permit: typing.Callable[[], defer.Deferred[None]] | None = None,
    ) -> typing.Any:
        """Retries a call on the platform until the deadline.

        Every call made here is safe to repeat, since a write names the
        version that it replaces. Each attempt has its own timeout.

        :raises port.PlatformError: the last error, at the deadline
        """
        tries = 0
        while True:
            try:
                if permit is not None:
                    await self._with_timeout(permit(), deadline_ms)
                return await self._with_timeout(attempt(), deadline_ms)
            except port.PlatformError:
                wait_ms = swap.backoff_ms(
                    tries,
                    FIRST_BACKOFF_MS,
                    LONGEST_BACKOFF_MS,
                    self.random.random(),
                )
                if self.now_ms() + wait_ms >= deadline_ms:
                    raise
            tries += 1
            await swap.sleep(self.scheduler, wait_ms)

    async def _with_timeout(
        self, answer: defer.Deferred[typing.Any], deadline_ms: float
    ) -> typing.Any:
        remaining_ms = min(ATTEMPT_TIMEOUT_MS, deadline_ms - self.now_ms())
        if remaining_ms <= 0:
            answer.addErrback(lambda failure: None)
            answer.cancel()
            raise port.AnswerLost("the deadline has passed")
        answer.addTimeout(remaining_ms / clocks.MS_PER_S, self.scheduler)
        try:
            return await answer
        except (defer.TimeoutError, defer.CancelledError) as error:
            raise port.AnswerLost("the call timed out") from error
