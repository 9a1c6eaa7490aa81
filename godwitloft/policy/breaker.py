"""Circuit breaker for an upstream, and detection of slow-downs."""

import collections
import dataclasses
import enum
import statistics
import typing

FAILURES_TO_OPEN = 3
OPEN_MS = 2000
MAX_OPEN_MS = 60_000
FIRST_UNREACHABLE_MS = 250
MAX_UNREACHABLE_MS = 1000
SLOW_FACTOR = 3.0
MIN_SAMPLES = 8
RECENT_SAMPLES = 8
BASELINE_SAMPLES = 64


class State(enum.Enum):
    """Whether work may be given to an upstream."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass(frozen=True)
class Breaker:
    """State of the circuit breaker of one upstream.

    :param failures: consecutive failures
    :param open_until_ms: no requests before this time; 0: closed
    :param open_ms: length of the last open period; doubles with each one
    :param probing: whether the single probe request is in progress
    """

    failures: int = 0
    open_until_ms: int = 0
    open_ms: int = 0
    probing: bool = False


def state(breaker: Breaker, now_ms: int) -> State:
    """Returns the state of a breaker.

    :param breaker: the breaker
    :param now_ms: the time
    :return: closed: requests may start; open: none may; probing: one at a
        time may
    """
    if breaker.open_until_ms == 0:
        return State.CLOSED
    if now_ms < breaker.open_until_ms:
        return State.OPEN
    return State.PROBING


def allows_request(breaker: Breaker, now_ms: int) -> bool:
    """Returns whether one more request may start.

    :param breaker: the breaker
    :param now_ms: the time
    :return: whether it may
    """
    current = state(breaker, now_ms)
    return current is State.CLOSED or (
        current is State.PROBING and not breaker.probing
    )


def record_start(breaker: Breaker, now_ms: int) -> Breaker:
    """Records that a request was sent to the upstream.

    :param breaker: the breaker before
    :param now_ms: the time
    :return: the breaker now
    """
    if state(breaker, now_ms) is State.PROBING:
        return dataclasses.replace(breaker, probing=True)
    return breaker


def record_success(breaker: Breaker) -> Breaker:
    """Records a request that the upstream completed.

    :param breaker: the breaker before
    :return: the breaker now, closed
    """
    if breaker == Breaker():
        return breaker
    return Breaker()


def record_failure(
    breaker: Breaker, now_ms: int, max_open_ms: int = MAX_OPEN_MS
) -> Breaker:
    """Records a request that the upstream failed, or a refused connection.

    :param breaker: the breaker before
    :param now_ms: the time
    :param max_open_ms: longest time until the next probe
    :return: the breaker now
    """
    failures = breaker.failures + 1
    if state(breaker, now_ms) is State.OPEN:
        return dataclasses.replace(breaker, failures=failures)
    if failures < FAILURES_TO_OPEN and not breaker.open_until_ms:
        return dataclasses.replace(breaker, failures=failures)
    open_ms = min(max_open_ms, max(OPEN_MS, breaker.open_ms * 2))
    return Breaker(failures, now_ms + open_ms, open_ms)


def record_unreachable(breaker: Breaker, now_ms: int) -> Breaker:
    """Records that no connection to the upstream could be made.

    Nothing ran, so the breaker opens at the first such failure, but only
    for a short time: a retry then costs nothing, and an earlier one would
    fail too.

    :param breaker: the breaker before
    :param now_ms: the time
    :return: the breaker now, open
    """
    open_ms = min(
        MAX_UNREACHABLE_MS, max(FIRST_UNREACHABLE_MS, breaker.open_ms * 2)
    )
    if state(breaker, now_ms) is State.OPEN:
        return breaker
    return Breaker(breaker.failures, now_ms + open_ms, open_ms)


class SlowdownDetector:
    """Compares recent times of one upstream with its usual ones."""

    def __init__(self) -> None:
        self.recent: collections.deque[float] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self.baseline: collections.deque[float] = collections.deque(
            maxlen=BASELINE_SAMPLES
        )

    def observe(self, value_ms: float) -> None:
        """Adds one observed time.

        :param value_ms: for example milliseconds between tokens
        """
        if len(self.recent) == self.recent.maxlen:
            self.baseline.append(self.recent[0])
        self.recent.append(value_ms)

    def is_slow(self, pool_median_ms: float | None = None) -> bool:
        """Returns whether the upstream has slowed down.

        :param pool_median_ms: median of the other upstreams of the pool,
            or None when not known
        :return: whether its recent median is more than
            :data:`SLOW_FACTOR` times its own usual one or its pool's
        """
        if len(self.recent) < MIN_SAMPLES:
            return False
        recent = statistics.median(self.recent)
        baselines: list[float] = []
        if len(self.baseline) >= MIN_SAMPLES:
            baselines.append(statistics.median(self.baseline))
        if pool_median_ms is not None:
            baselines.append(pool_median_ms)
        return any(recent > SLOW_FACTOR * baseline for baseline in baselines)

    def recent_median_ms(self) -> float | None:
        """Returns the median of the recent times.

        :return: milliseconds, or None with too few samples
        """
        if len(self.recent) < MIN_SAMPLES:
            return None
        return statistics.median(self.recent)


def pool_median_ms(
    medians: typing.Iterable[float | None],
) -> float | None:
    """Returns the median over the upstreams of a pool.

    :param medians: recent medians of the other upstreams
    :return: milliseconds, or None when fewer than two are known
    """
    known_medians = [median for median in medians if median is not None]
    return statistics.median(known_medians) if len(known_medians) > 1 else None
