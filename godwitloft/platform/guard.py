"""Protects the platform from a fleet, and its callers from the platform.

A guard wraps any adapter of the port and is a port itself. It bounds calls
a second to a fair share of the fleet's, shares equal reads, retries with
jitter within a budget, and stops asking a platform that is down. It never
repeats a write whose answer was lost, unless repeating is harmless.
"""

import collections
import dataclasses
import itertools
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from godwitloft import events
from godwitloft.platform import port
from godwitloft.platform import rate
from godwitloft.policy import breaker as breakers
from godwitloft.policy import retry

MS_PER_S = 1000
RATE_LIMITED = "rate_limited"

Operation = typing.Callable[[], defer.Deferred[typing.Any]]


@dataclasses.dataclass(frozen=True)
class GuardSettings:
    """Bounds on calls.

    :param fleet_reads_per_s: reads a second that all processes may make
    :param fleet_writes_per_s: writes a second that all may make
    :param burst_s: seconds of an unused share that are saved
    :param min_burst: calls that are saved however small the share is; a
        process of a large fleet that seldom calls then needn't wait
    :param max_queued: calls that may wait for their share at once
    :param attempt_limit_ms: how long one attempt may take
    :param call_limit_ms: how long a call may take with its waits
    :param max_attempts: attempts of one call
    :param max_open_ms: longest time without a test whether the platform is
        back
    """

    fleet_reads_per_s: float = 1600.0
    fleet_writes_per_s: float = 240.0
    burst_s: float = 0.25
    min_burst: float = 10.0
    max_queued: int = 1000
    attempt_limit_ms: float = 3000.0
    call_limit_ms: float = 10_000.0
    max_attempts: int = 3
    max_open_ms: int = 4000


def ignore(reason: str) -> None:
    """Counts nothing.

    :param reason: ignored
    """


class Gate:
    """Lets calls pass at a rate, in the order in which they came.

    :param limit: the rate
    :param max_queued: calls that may wait
    :param max_wait_ms: how long one may wait
    :param reactor: gives time and timers
    """

    def __init__(
        self,
        limit: rate.Rate,
        max_queued: int,
        max_wait_ms: float,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self.limit = limit
        self.max_queued = max_queued
        self.max_wait_ms = max_wait_ms
        self.reactor = reactor
        self.queue: collections.deque[defer.Deferred[None]] = (
            collections.deque()
        )
        self.timer: interfaces.IDelayedCall | None = None

    def enter(self) -> defer.Deferred[None] | None:
        """Asks to pass.

        :return: fires when the call may be made, or fails with
            ``TimeoutError``; None when too many wait
        """
        if not self.queue and self.limit.take(self._now_ms()):
            return defer.succeed(None)
        if len(self.queue) >= self.max_queued:
            return None
        passing: defer.Deferred[None] = defer.Deferred()
        self.queue.append(passing)
        passing.addTimeout(self.max_wait_ms / MS_PER_S, self.reactor)
        self._schedule()
        return passing

    def _now_ms(self) -> float:
        return self.reactor.seconds() * MS_PER_S

    def _schedule(self) -> None:
        if self.timer is None and self.queue:
            # A timer may fire a moment early by the limit's arithmetic.
            wait_ms = self.limit.wait_ms(self._now_ms()) + 1
            self.timer = self.reactor.callLater(wait_ms / MS_PER_S, self._pass)

    def _pass(self) -> None:
        self.timer = None
        while self.queue:
            if self.queue[0].called:
                self.queue.popleft()
            elif self.limit.take(self._now_ms()):
                self.queue.popleft().callback(None)
            else:
                break
        self._schedule()


class SharedRead:
    """One read that several callers wait for.

    :param operation: makes the read
    """

    def __init__(self, operation: Operation) -> None:
        self.operation = operation
        self.sent: list[defer.Deferred[typing.Any]] = []
        self.joined: list[defer.Deferred[typing.Any]] = []


class Guard:
    """The state of one guard.

    :param inner: the adapter behind it
    :param reactor: gives time and timers
    :param settings: the bounds
    :param live_processes: how many processes share the fleet's rates
    :param rng: source of the jitter
    :param on_retry: counts a retry by its reason
    :param on_refusal: counts a call that was not even tried, by its reason
    """

    def __init__(
        self,
        inner: port.Platform,
        reactor: interfaces.IReactorTime,
        settings: GuardSettings = GuardSettings(),
        live_processes: typing.Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
        on_retry: typing.Callable[[str], None] = ignore,
        on_refusal: typing.Callable[[str], None] = ignore,
    ) -> None:
        self.inner = inner
        self.reactor = reactor
        self.settings = settings
        self.live_processes = live_processes
        self.rng = rng or random.Random()
        self.on_retry = on_retry
        self.on_refusal = on_refusal
        self.breaker = breakers.Breaker()
        self.budget = retry.Budget()
        self.reads: dict[tuple[typing.Any, ...], SharedRead] = {}
        self.read_gate = self._gate(settings.fleet_reads_per_s)
        self.write_gate = self._gate(settings.fleet_writes_per_s)

    def platform(self) -> port.Platform:
        """Returns the guarded port."""
        inner = self.inner
        return port.Platform(
            read_row=self._reader(inner.read_row),
            write_row=self._writer(inner.write_row),
            delete_row=self._writer(inner.delete_row),
            list_rows=self._reader(inner.list_rows),
            read_object=self._reader(inner.read_object),
            # Objects never change, so a second write of one is harmless.
            write_object=self._writer(inner.write_object, repeatable=True),
            list_instances=self._reader(inner.list_instances),
            # A permit may be spent by a lost answer, and who asks for one
            # decides how long to wait for the next.
            read_weights=self._writer(inner.read_weights, attempts=1),
            # Made again at an interval anyway; a late repetition would
            # overwrite what the instance says of itself by then.
            announce_instance=self._writer(
                inner.announce_instance, attempts=1
            ),
        )

    @property
    def is_open(self) -> bool:
        """Whether the platform is taken to be down."""
        state = breakers.state(self.breaker, self._now_ms())
        return state is not breakers.State.CLOSED

    def _reader(
        self, method: typing.Callable[..., defer.Deferred[typing.Any]]
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        def read(*arguments: str) -> defer.Deferred[typing.Any]:
            return self._share((method, *arguments))

        return read

    def _writer(
        self,
        method: typing.Callable[..., defer.Deferred[typing.Any]],
        repeatable: bool = False,
        attempts: int | None = None,
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        most = attempts or self.settings.max_attempts

        def write(*arguments: typing.Any) -> defer.Deferred[typing.Any]:
            return defer.ensureDeferred(
                self._call(
                    lambda: method(*arguments),
                    self.write_gate,
                    port.AnswerLost,
                    repeatable,
                    most,
                )
            )

        return write

    def _share(
        self, key: tuple[typing.Any, ...]
    ) -> defer.Deferred[typing.Any]:
        """Joins a read that wasn't sent yet, or begins one.

        A read that was sent may return what was true before the caller
        asked, for example before its own write. So later callers wait for
        the next attempt, which all of them share.
        """
        waiting: defer.Deferred[typing.Any] = defer.Deferred()
        shared = self.reads.get(key)
        if shared is not None:
            shared.joined.append(waiting)
            return waiting
        method, *arguments = key
        shared = SharedRead(lambda: method(*arguments))
        shared.joined.append(waiting)
        self.reads[key] = shared
        self._drive(key, shared)
        return waiting

    def _drive(self, key: tuple[typing.Any, ...], shared: SharedRead) -> None:
        def send() -> defer.Deferred[typing.Any]:
            shared.sent.extend(shared.joined)
            shared.joined = []
            return shared.operation()

        def finish(result: typing.Any) -> None:
            # When nothing was sent, the failure is everybody's.
            told = shared.sent or shared.joined
            if told is shared.joined:
                shared.joined = []
            shared.sent = []
            if shared.joined:
                self._drive(key, shared)
            else:
                self.reads.pop(key, None)
            for waiting in told:
                if not waiting.called:
                    waiting.callback(result)

        defer.ensureDeferred(
            self._call(
                send,
                self.read_gate,
                port.StoreUnavailable,
                True,
                self.settings.max_attempts,
            )
        ).addBoth(finish)

    async def _call(
        self,
        operation: Operation,
        gate: Gate,
        timeout_error: type[port.PlatformError],
        repeatable: bool,
        max_attempts: int,
    ) -> typing.Any:
        end_ms = self._now_ms() + self.settings.call_limit_ms
        self.budget = retry.called(self.budget)
        for attempt in itertools.count(1):
            await self._admit(gate)
            try:
                return await self._attempt(operation, timeout_error)
            except port.PlatformError as error:
                reason = _retry_reason(error, repeatable)
                delay_ms = self._backoff_ms(reason, attempt, gate)
                in_time = self._now_ms() + delay_ms <= end_ms
                if not reason or attempt >= max_attempts or not in_time:
                    raise
                if not self._spend_retry(reason):
                    raise
            await task.deferLater(self.reactor, delay_ms / MS_PER_S)

    def _backoff_ms(self, reason: str, attempt: int, gate: Gate) -> float:
        """Returns the delay before the next attempt.

        After a refusal for the rate it is drawn from the time in which each
        process of the fleet may make one call. So a fleet that called all at
        once spreads itself to just the rate that the platform takes.
        """
        delay_ms: float = retry.backoff_ms(attempt, self.rng)
        if reason == RATE_LIMITED:
            delay_ms += self.rng.uniform(0, gate.limit.round_ms())
        return delay_ms

    async def _admit(self, gate: Gate) -> None:
        if not breakers.allows(self.breaker, self._now_ms()):
            raise self._refusal("breaker_open")
        passing = gate.enter()
        if passing is None:
            raise self._refusal("queue_full")
        try:
            await passing
        except defer.TimeoutError:
            raise self._refusal("queue_timeout") from None
        if not breakers.allows(self.breaker, self._now_ms()):
            raise self._refusal("breaker_open")

    async def _attempt(
        self,
        operation: Operation,
        timeout_error: type[port.PlatformError],
    ) -> typing.Any:
        was_open = self.is_open
        self.breaker = breakers.started(self.breaker, self._now_ms())
        limit_s = self.settings.attempt_limit_ms / MS_PER_S
        try:
            result = await operation().addTimeout(limit_s, self.reactor)
        except (port.RateLimited, port.InvalidCall):
            self._note_success(was_open)
            raise
        except defer.TimeoutError:
            self._note_failure(was_open)
            raise timeout_error("no answer in time") from None
        except defer.CancelledError:
            # The caller lost interest, which says nothing of the platform.
            self.breaker = dataclasses.replace(self.breaker, probing=False)
            raise
        except BaseException:
            self._note_failure(was_open)
            raise
        self._note_success(was_open)
        return result

    def _note_success(self, was_open: bool) -> None:
        if was_open:
            events.log(events.PLATFORM_BACK)
        self.breaker = breakers.succeeded(self.breaker)

    def _note_failure(self, was_open: bool) -> None:
        self.breaker = breakers.failed(
            self.breaker, self._now_ms(), self.settings.max_open_ms
        )
        if self.is_open and not was_open:
            events.log(events.PLATFORM_DOWN)

    def _spend_retry(self, reason: str) -> bool:
        left = retry.spend(self.budget)
        if left is None:
            self.on_refusal("retry_budget")
            return False
        self.budget = left
        self.on_retry(reason)
        return True

    def _refusal(self, reason: str) -> port.StoreUnavailable:
        self.on_refusal(reason)
        return port.StoreUnavailable(f"the call was not made: {reason}")

    def _gate(self, fleet_per_s: float) -> Gate:
        def share() -> float:
            return fleet_per_s / max(1, self.live_processes())

        return Gate(
            rate.Rate(share, self.settings.burst_s, self.settings.min_burst),
            self.settings.max_queued,
            self.settings.call_limit_ms,
            self.reactor,
        )

    def _now_ms(self) -> int:
        return round(self.reactor.seconds() * MS_PER_S)


def _retry_reason(error: port.PlatformError, repeatable: bool) -> str:
    """Returns under which reason a failed attempt is repeated.

    :param error: how it failed
    :param repeatable: whether it may be repeated after a lost answer
    :return: the reason, empty when it must not be repeated
    """
    if isinstance(error, port.RateLimited):
        return RATE_LIMITED
    if isinstance(error, port.StoreUnavailable):
        return "unavailable"
    if isinstance(error, port.AnswerLost) and repeatable:
        return "answer_lost"
    return ""
