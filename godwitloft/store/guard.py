"""Limits, retries and circuit breaking for calls to the platform.

A guard wraps an adapter of the port and offers the same port. It limits the
rate of calls to this process's share of the fleet's rate, merges identical
reads, retries with jitter within a retry budget, and stops calling a service
that is down. It repeats a write whose answer was lost only if the repetition
is harmless.
"""

import dataclasses
import itertools
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from godwitloft import events
from godwitloft.policy import breaker as breakers
from godwitloft.policy import retry
from godwitloft.store import call_queue
from godwitloft.store import port
from godwitloft.store import rate_limit

MS_PER_S = 1000
RATE_LIMITED = "rate_limited"

Operation = typing.Callable[[], defer.Deferred[typing.Any]]


@dataclasses.dataclass(frozen=True)
class GuardSettings:
    """Limits on calls.

    :param fleet_reads_per_s: reads per second of all processes together; 0:
        no limit
    :param fleet_writes_per_s: writes per second of all processes together;
        0: no limit
    :param burst_s: burst size, in seconds of this process's share of the rate
    :param min_burst: smallest burst size in calls, so that a process of a
        large fleet that seldom calls needn't wait
    :param max_queued: calls that may wait for the rate limit at once
    :param attempt_limit_ms: timeout of one attempt
    :param call_limit_ms: time after which a call isn't retried, and longest
        wait for the rate limit
    :param max_attempts: largest number of attempts of one call
    :param max_open_ms: longest time that a circuit breaker stays open before
        one call may test the service
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


def ignore_reason(reason: str) -> None:
    """Does nothing.

    :param reason: unused
    """


@dataclasses.dataclass(frozen=True)
class CallKind:
    """How calls of one kind are handled.

    :param service: the service they call
    :param is_write: whether they change anything
    :param max_attempts: largest number of attempts of one call
    :param repeatable: whether a call may be retried after its answer was lost
    """

    service: port.Service
    is_write: bool
    max_attempts: int
    repeatable: bool = False


class SharedRead:
    """Identical reads that are sent as one.

    ``in_flight`` holds the callers that get the result of the attempt under
    way, ``pending`` those that need an attempt that was sent after they asked.

    :param operation: sends the read
    """

    def __init__(self, operation: Operation) -> None:
        self.operation = operation
        self.in_flight: list[defer.Deferred[typing.Any]] = []
        self.pending: list[defer.Deferred[typing.Any]] = []


class Guard:
    """Guards the calls of one process.

    :param inner: the adapter
    :param reactor: gives time and timers
    :param settings: limits
    :param live_processes: returns how many processes share the fleet's rates
    :param rng: source of the jitter
    :param on_retry: called with the reason of each retry
    :param on_refusal: called with the reason when a call or a retry isn't sent
    """

    def __init__(
        self,
        inner: port.Platform,
        reactor: interfaces.IReactorTime,
        settings: GuardSettings = GuardSettings(),
        live_processes: typing.Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
        on_retry: typing.Callable[[str], None] = ignore_reason,
        on_refusal: typing.Callable[[str], None] = ignore_reason,
    ) -> None:
        self.inner = inner
        self.reactor = reactor
        self.settings = settings
        self.live_processes = live_processes
        self.rng = rng or random.Random()
        self.on_retry = on_retry
        self.on_refusal = on_refusal
        # One breaker per service, since services fail independently.
        self.breakers = dict.fromkeys(port.Service, breakers.Breaker())
        self.budget = retry.RetryBudget()
        self.reads: dict[tuple[typing.Any, ...], SharedRead] = {}
        self.read_queue = self._make_queue(settings.fleet_reads_per_s)
        self.write_queue = self._make_queue(settings.fleet_writes_per_s)

    def platform(self) -> port.Platform:
        """Returns the port with guarded calls."""
        inner = self.inner
        tables = port.Service.TABLES
        objects = port.Service.OBJECTS
        instances = port.Service.INSTANCES
        return port.Platform(
            read_row=self._reader(tables, inner.read_row),
            write_row=self._writer(tables, inner.write_row),
            delete_row=self._writer(tables, inner.delete_row),
            list_rows=self._reader(tables, inner.list_rows),
            read_object=self._reader(objects, inner.read_object),
            # Objects never change, so writing one again is harmless.
            write_object=self._writer(
                objects, inner.write_object, repeatable=True
            ),
            list_instances=self._reader(instances, inner.list_instances),
            # A call whose answer was lost may have used up a permit, and the
            # caller decides when to ask for the next one.
            read_weights=self._writer(
                port.Service.WEIGHTS, inner.read_weights, max_attempts=1
            ),
            # Announced again at an interval anyway; a late retry could
            # overwrite a newer announcement of the instance.
            announce_instance=self._writer(
                instances, inner.announce_instance, max_attempts=1
            ),
        )

    def is_open(self, service: port.Service) -> bool:
        """Returns whether the breaker of a service isn't closed.

        :param service: the service
        """
        state = breakers.state(self.breakers[service], self._now_ms())
        return state is not breakers.State.CLOSED

    def _reader(
        self,
        service: port.Service,
        method: typing.Callable[..., defer.Deferred[typing.Any]],
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        kind = CallKind(service, False, self.settings.max_attempts)

        def read(*arguments: str) -> defer.Deferred[typing.Any]:
            return self._join_read(kind, (method, *arguments))

        return read

    def _writer(
        self,
        service: port.Service,
        method: typing.Callable[..., defer.Deferred[typing.Any]],
        repeatable: bool = False,
        max_attempts: int | None = None,
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        attempts = max_attempts or self.settings.max_attempts
        kind = CallKind(service, True, attempts, repeatable)

        def write(*arguments: typing.Any) -> defer.Deferred[typing.Any]:
            return defer.ensureDeferred(
                self._call(kind, lambda: method(*arguments))
            )

        return write

    def _join_read(
        self, kind: CallKind, key: tuple[typing.Any, ...]
    ) -> defer.Deferred[typing.Any]:
        """Joins an identical read that wasn't sent yet, or starts one.

        A read that was already sent may return data from before the caller
        asked, for example from before its own write. Later callers therefore
        share the next attempt.
        """
        waiter: defer.Deferred[typing.Any] = defer.Deferred()
        shared = self.reads.get(key)
        if shared is not None:
            shared.pending.append(waiter)
            return waiter
        method, *arguments = key
        shared = SharedRead(lambda: method(*arguments))
        shared.pending.append(waiter)
        self.reads[key] = shared
        self._run_read(kind, key, shared)
        return waiter

    def _run_read(
        self, kind: CallKind, key: tuple[typing.Any, ...], shared: SharedRead
    ) -> None:
        def send() -> defer.Deferred[typing.Any]:
            shared.in_flight.extend(shared.pending)
            shared.pending = []
            return shared.operation()

        def finish(result: typing.Any) -> None:
            # If nothing was sent, all callers get the failure.
            waiters = shared.in_flight or shared.pending
            if waiters is shared.pending:
                shared.pending = []
            shared.in_flight = []
            if shared.pending:
                self._run_read(kind, key, shared)
            else:
                self.reads.pop(key, None)
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(result)

        defer.ensureDeferred(self._call(kind, send)).addBoth(finish)

    async def _call(self, kind: CallKind, operation: Operation) -> typing.Any:
        deadline_ms = self._now_ms() + self.settings.call_limit_ms
        self.budget = retry.record_call(self.budget)
        for attempt in itertools.count(1):
            await self._wait_for_rate(kind)
            try:
                return await self._attempt(kind, operation)
            except port.PlatformError as error:
                reason = _retry_reason(error, kind)
                delay_ms = self._backoff_ms(kind, reason, attempt)
                is_in_time = self._now_ms() + delay_ms <= deadline_ms
                if (
                    not reason
                    or attempt >= kind.max_attempts
                    or not is_in_time
                ):
                    raise
                if not self._take_retry(reason):
                    raise
            await task.deferLater(self.reactor, delay_ms / MS_PER_S)

    def _backoff_ms(self, kind: CallKind, reason: str, attempt: int) -> float:
        """Returns the delay before the next attempt.

        After a call was rate limited, the delay gets a random part of up to
        the interval in which each process of the fleet may make one call. A
        fleet that called all at once is thus spread to the rate that the
        platform accepts.
        """
        delay_ms: float = retry.backoff_ms(attempt, self.rng)
        if reason == RATE_LIMITED:
            delay_ms += self.rng.uniform(
                0, self._queue_for(kind).rate_limit.interval_ms()
            )
        return delay_ms

    async def _wait_for_rate(self, kind: CallKind) -> None:
        if not self._allows(kind):
            raise self._refusal("breaker_open")
        permission = self._queue_for(kind).join()
        if permission is None:
            raise self._refusal("queue_full")
        try:
            await permission
        except defer.TimeoutError:
            raise self._refusal("queue_timeout") from None
        if not self._allows(kind):
            raise self._refusal("breaker_open")

    async def _attempt(
        self, kind: CallKind, operation: Operation
    ) -> typing.Any:
        service = kind.service
        was_open = self.is_open(service)
        self.breakers[service] = breakers.record_start(
            self.breakers[service], self._now_ms()
        )
        timeout_s = self.settings.attempt_limit_ms / MS_PER_S
        try:
            result = await operation().addTimeout(timeout_s, self.reactor)
        except (port.RateLimited, port.InvalidCall):
            self._record_success(service, was_open)
            raise
        except defer.TimeoutError:
            self._record_failure(service, was_open)
            if kind.is_write:
                raise port.AnswerLost("no answer in time") from None
            raise port.StoreUnavailable("no answer in time") from None
        except defer.CancelledError:
            # Cancelled by the caller, so this is no sign of a failure.
            self.breakers[service] = dataclasses.replace(
                self.breakers[service], probing=False
            )
            raise
        except BaseException:
            self._record_failure(service, was_open)
            raise
        self._record_success(service, was_open)
        return result

    def _record_success(self, service: port.Service, was_open: bool) -> None:
        if was_open:
            events.log(events.PLATFORM_BACK, service=service.value)
        self.breakers[service] = breakers.record_success(
            self.breakers[service]
        )

    def _record_failure(self, service: port.Service, was_open: bool) -> None:
        self.breakers[service] = breakers.record_failure(
            self.breakers[service], self._now_ms(), self.settings.max_open_ms
        )
        if self.is_open(service) and not was_open:
            events.log(events.PLATFORM_DOWN, service=service.value)

    def _allows(self, kind: CallKind) -> bool:
        return breakers.allows_request(
            self.breakers[kind.service], self._now_ms()
        )

    def _take_retry(self, reason: str) -> bool:
        remaining = retry.spend(self.budget)
        if remaining is None:
            self.on_refusal("retry_budget")
            return False
        self.budget = remaining
        self.on_retry(reason)
        return True

    def _refusal(self, reason: str) -> port.StoreUnavailable:
        self.on_refusal(reason)
        return port.StoreUnavailable(f"the call was not made: {reason}")

    def _queue_for(self, kind: CallKind) -> call_queue.CallQueue:
        return self.write_queue if kind.is_write else self.read_queue

    def _make_queue(self, fleet_per_s: float) -> call_queue.CallQueue:
        def process_rate_per_s() -> float:
            return fleet_per_s / max(1, self.live_processes())

        return call_queue.CallQueue(
            rate_limit.RateLimit(
                process_rate_per_s,
                self.settings.burst_s,
                self.settings.min_burst,
            ),
            self.settings.max_queued,
            self.settings.call_limit_ms,
            self.reactor,
        )

    def _now_ms(self) -> int:
        return round(self.reactor.seconds() * MS_PER_S)


def _retry_reason(error: port.PlatformError, kind: CallKind) -> str:
    """Returns the reason for retrying a failed attempt.

    :param error: the failure
    :param kind: kind of the call
    :return: the reason, empty if it must not be retried
    """
    if isinstance(error, port.RateLimited):
        return RATE_LIMITED
    if isinstance(error, port.StoreUnavailable):
        return "unavailable"
    if isinstance(error, port.AnswerLost) and kind.repeatable:
        return "answer_lost"
    return ""
