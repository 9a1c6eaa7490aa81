"""Learns how many requests an upstream can handle well.

Designed for upstreams of one service whose speeds differ by a factor of up to
25 and of which some slow down long before all their slots are in use, for load
that stays above capacity for minutes, and for many gateways that each see a
small part of an upstream's work.

The time of an answer, relative to what its kind usually takes, is recorded by
the work in progress at the upstream. A curve with a knee is fitted to it:
constant up to the knee, then growing by a power of the work in progress. With
a power near 1, more work in progress adds waiting but no throughput; the knee
is then the room. Sockets, clocks and other gateways are not known here.
"""

import collections.abc
import dataclasses
import enum
import math

# Distinguished amounts of work in progress up to the slots.
MAX_LEVELS = 16
# Without agents, gateways may together send this many times the slots; what is
# beyond these waits inside the upstream.
EXCESS_FACTOR = 2
# Evidence that is not renewed loses half of its weight in this time.
HALF_LIFE_MS = 10_000
# With more weight, a level would follow a change of speed too slowly.
MAX_LEVEL_WEIGHT = 50.0
# One answer counts as at most this many times slower or faster than usual, so
# that a single slow request has little effect.
MAX_DEVIATION = math.log(4.0)
MIN_WEIGHT = 12.0
# Weight of the answers above a knee, and up to it, without which it isn't
# believed.
MIN_WEIGHT_ABOVE = 8.0
MIN_WEIGHT_BELOW = 5.0
# From this power on, more work in progress hardly adds throughput.
SATURATED_SLOPE = 0.75
# Lower bound of the power, with the uncertainty of the fit. The knee with the
# best fit is chosen, which exaggerates the power a little.
SURE_SLOPE = 0.55
STANDARD_ERRORS = 3.0
# With a larger error nothing can be told from a power.
MAX_RISE_ERROR = 0.4
INITIAL_VARIANCE = 0.1
MIN_VARIANCE = 0.02
VARIANCE_WEIGHT = 0.02
# The room is a little above the knee: too small a room wastes throughput,
# too large a one only adds some waiting.
MARGIN = 1.05
FLOOR_SHARE = 0.25
# A knee nearer to the slots than this isn't worth a smaller room.
FULL_SHARE = 0.93
DECISION_INTERVAL_MS = 500
# Decisions in a row that must agree before the room falls: a burst of a few
# hundred milliseconds is over by then.
AGREEING_DECISIONS = 2
FALL_FACTOR = 0.7
# Now and then the room is a little larger for a while, to find out whether the
# upstream can handle more than before.
PROBE_INTERVAL_MS = 5_000
PROBE_MS = 1_000
PROBE_SHARE = 0.2
PROBE_MARGIN = 1.05
# Where many answers are late and it isn't known how long they take with less
# work in progress, the room is smaller for a while to find out: little is lost
# by that, as late answers are worth little. The time between two such trials
# doubles, as most upstreams with late answers are just slow.
TRIAL_FACTOR = 0.65
TRIAL_MS = 3_000
TRIAL_WEIGHT = 16.0
TRIAL_LEVEL_SHARE = 0.8
TRIAL_INTERVAL_MS = 5_000
MAX_TRIAL_INTERVAL_MS = 80_000
SLOW_SHARE = 0.25
SLOW_WEIGHT = 0.05
# An answer is slow if it takes more than this part of the time in which it is
# due: under load, the rest is spent in queues.
SLOW_TARGET_SHARE = 0.8
# A refusal for overload shows that the upstream takes less than it held.
REFUSED_FACTOR = 0.9
# Refusals of requests that were sent before the room fell don't count again.
REFUSED_INTERVAL_MS = 2_000
# Answers at one level that deviate this much on average show that the speed
# itself has changed; what was known of the other levels is then outdated.
CHANGED_DEVIATION = math.log(1.8)
CHANGE_WEIGHT = 0.2
CHANGED_OTHERS_WEIGHT = 1.0
MIN_KNOWN_WEIGHT = 8.0


class Why(enum.Enum):
    """Reason for the room of an upstream."""

    NO_KNEE = "no_knee"
    SATURATED = "saturated"
    RISES = "rises"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Level:
    """What was observed at one amount of work in progress.

    :param number: from 1 on; as many as there are levels is all slots
    :param weight: number of answers, recent ones in full
    :param mean: mean logarithm of their relative time
    """

    number: int
    weight: float
    mean: float


@dataclasses.dataclass(frozen=True)
class Curve:
    """Relative time of an answer against work in progress.

    :param knee: work in progress from which on the time grows
    :param slope: power with which it grows
    :param base: logarithm of the relative time below the knee
    :param error: standard error of the slope
    :param weight: number of answers that it is fitted to
    """

    knee: float
    slope: float
    base: float
    error: float
    weight: float

    def relative_time(self, load: float) -> float:
        """Returns the expected time relative to the usual one.

        :param load: work in progress, including the request
        """
        growth = math.log(max(1.0, load / self.knee))
        return math.exp(self.base + max(0.0, self.slope) * growth)

    @property
    def is_saturated(self) -> bool:
        """Whether work beyond the knee surely adds no throughput."""
        sure = self.slope - STANDARD_ERRORS * self.error
        return self.slope >= SATURATED_SLOPE and sure >= SURE_SLOPE


def level_count(slots: int) -> int:
    """Returns how many levels of work are distinguished up to the slots.

    :param slots: number of requests that the upstream runs concurrently
    """
    return max(1, min(MAX_LEVELS, slots))


def level_of(load: float, slots: int) -> int:
    """Returns the level of an amount of work in progress.

    :param load: work in progress
    :param slots: number of requests that the upstream runs concurrently
    """
    count = level_count(slots)
    number = round(load * count / max(1, slots))
    return max(1, min(EXCESS_FACTOR * count, number))


@dataclasses.dataclass(frozen=True)
class Point:
    """Combined observations at one amount of work in progress.

    :param log_load: its logarithm
    :param weight: number of answers
    :param mean: mean logarithm of their relative time
    """

    log_load: float
    weight: float
    mean: float


def combine(
    levels: collections.abc.Iterable[Level], slots: int
) -> list[Point]:
    """Combines the observations of several gateways.

    :param levels: observations
    :param slots: number of requests that the upstream runs concurrently
    :return: in ascending order of the work in progress
    """
    weights: dict[int, float] = {}
    sums: dict[int, float] = {}
    for level in levels:
        number = level.number
        weights[number] = weights.get(number, 0.0) + level.weight
        sums[number] = sums.get(number, 0.0) + level.weight * level.mean
    per_level = slots / level_count(slots)
    return [
        Point(math.log(number * per_level), weight, sums[number] / weight)
        for number, weight in sorted(weights.items())
        if weight > 0
    ]


def fit_above(
    points: collections.abc.Sequence[Point], log_knee: float, variance: float
) -> Curve | None:
    """Fits a curve with a given knee, by least squares.

    :param points: what was observed
    :param log_knee: logarithm of the knee
    :param variance: variance of the logarithm of single relative times
    :return: None if nothing was observed beyond the knee
    """
    total = sum(point.weight for point in points)
    if total <= 0:
        return None
    mean_x = mean_y = mean_xx = mean_xy = 0.0
    for point in points:
        share = point.weight / total
        mean_y += share * point.mean
        x = point.log_load - log_knee
        if x > 0:
            mean_x += share * x
            mean_xx += share * x * x
            mean_xy += share * x * point.mean
    spread = (mean_xx - mean_x**2) * total
    if spread <= 1e-9:
        return None
    slope = (mean_xy - mean_x * mean_y) * total / spread
    return Curve(
        math.exp(log_knee),
        slope,
        mean_y - slope * mean_x,
        math.sqrt(variance / spread),
        total,
    )


def fit(
    points: collections.abc.Sequence[Point], slots: int, variance: float
) -> Curve | None:
    """Fits a curve, and finds its knee.

    :param points: what was observed
    :param slots: number of requests that the upstream runs concurrently
    :param variance: variance of the logarithm of single relative times
    :return: None while too little is known
    """
    total = sum(point.weight for point in points)
    if total < MIN_WEIGHT:
        return None
    mean = sum(point.weight * point.mean for point in points) / total
    best = Curve(float(slots), 0.0, mean, math.inf, total)
    best_gain = 0.0
    weight_below = 0.0
    for point in points:
        weight_below += point.weight
        if weight_below < MIN_WEIGHT_BELOW:
            continue
        if total - weight_below < MIN_WEIGHT_ABOVE:
            break
        curve = fit_above(points, point.log_load, variance)
        if curve is None or curve.slope <= 0:
            continue
        gain = (curve.slope / curve.error) ** 2
        if gain > best_gain:
            best_gain = gain
            best = curve
    return best


class Observations:
    """What one gateway has observed at one upstream.

    :param slots: number of requests that the upstream runs concurrently
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        count = EXCESS_FACTOR * level_count(slots) + 1
        self.weights = [0.0] * count
        self.means = [0.0] * count
        self.variance = INITIAL_VARIANCE
        self.deviation = 0.0
        self.slow_share = 0.0
        self.decayed_ms: int | None = None

    def record(
        self, load: float, relative_time: float, is_slow: bool, now_ms: int
    ) -> None:
        """Records an answer.

        :param load: work in progress at the upstream while it ran
        :param relative_time: its time relative to what its kind usually takes
        :param is_slow: whether it took a large part of the time in which it
            was due
        :param now_ms: the current time
        """
        self.decay(now_ms)
        self.slow_share += SLOW_WEIGHT * (is_slow - self.slow_share)
        number = level_of(load, self.slots)
        value = math.log(max(1e-3, relative_time))
        weight = self.weights[number]
        if weight >= MIN_KNOWN_WEIGHT:
            deviation = value - self.means[number]
            deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
            value = self.means[number] + deviation
            self.variance += VARIANCE_WEIGHT * (deviation**2 - self.variance)
            self.variance = max(MIN_VARIANCE, self.variance)
            self.deviation += CHANGE_WEIGHT * (deviation - self.deviation)
            if abs(self.deviation) >= CHANGED_DEVIATION:
                self.forget_others(number)
        else:
            value = max(-2 * MAX_DEVIATION, min(2 * MAX_DEVIATION, value))
        weight = min(MAX_LEVEL_WEIGHT - 1.0, weight) + 1.0
        self.weights[number] = weight
        self.means[number] += (value - self.means[number]) / weight

    def forget_others(self, number: int) -> None:
        """Forgets what was observed before the speed has changed.

        :param number: level at which the change was observed
        """
        for other in range(1, len(self.weights)):
            most = CHANGED_OTHERS_WEIGHT if other != number else 2.0
            self.weights[other] = min(self.weights[other], most)
        self.means[number] += self.deviation
        self.deviation = 0.0

    def decay(self, now_ms: int) -> None:
        """Reduces the weight of older evidence.

        :param now_ms: the current time
        """
        if self.decayed_ms is None:
            self.decayed_ms = now_ms
        elapsed_ms = now_ms - self.decayed_ms
        if elapsed_ms < DECISION_INTERVAL_MS:
            return
        self.decayed_ms = now_ms
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self.weights = [weight * factor for weight in self.weights]

    def levels(self) -> tuple[Level, ...]:
        """Returns the levels of which something is known."""
        return tuple(
            Level(number, weight, self.means[number])
            for number, weight in enumerate(self.weights)
            if weight >= 0.5
        )


class Room:
    """Decides how many requests an upstream gets from all gateways.

    :param slots: number of requests that it runs concurrently
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.base = slots
        self.why = Why.NO_KNEE
        self.agreed = 0
        self.probe_until_ms = 0
        self.next_probe_ms = 0
        self.trial_until_ms = 0
        self.next_trial_ms = 0
        self.trial_interval_ms = TRIAL_INTERVAL_MS
        self.refused_ms = -REFUSED_INTERVAL_MS

    @property
    def floor(self) -> int:
        """The least room on latency alone."""
        return max(1, math.ceil(self.slots * FLOOR_SHARE))

    @property
    def probe_room(self) -> int:
        """The room while it is probed whether the upstream takes more."""
        probe = max(1, math.ceil(self.base * PROBE_SHARE))
        return min(self.slots, self.base + probe)

    def current(self, now_ms: int) -> int:
        """Returns the room, including a probe or trial.

        :param now_ms: the current time
        """
        if now_ms < self.probe_until_ms:
            return self.probe_room
        if now_ms < self.trial_until_ms:
            tried = min(self.base - 1, int(self.base * TRIAL_FACTOR))
            return max(self.floor, tried)
        return self.base

    def adopt(self, room: int) -> None:
        """Takes over a room that another gateway has decided on.

        :param room: number of requests
        """
        self.base = max(1, min(self.slots, room))

    def decide(
        self,
        points: collections.abc.Sequence[Point],
        variance: float,
        slow_share: float,
        now_ms: int,
    ) -> Curve | None:
        """Adapts the room; to be called each decision interval.

        :param points: what was observed by all gateways
        :param variance: variance of the logarithm of single relative times
        :param slow_share: share of the answers that took long
        :param now_ms: the current time
        :return: the fitted curve, None while too little is known
        """
        curve = fit(points, self.slots, variance)
        if curve is None:
            return None
        target = self.base
        if curve.is_saturated and curve.knee < FULL_SHARE * self.slots:
            target = max(self.floor, math.ceil(curve.knee * MARGIN))
        if target < self.base:
            self.fall(target, now_ms)
            return curve
        self.agreed = 0
        if self.base < self.slots:
            self.probe(points, variance, now_ms)
        if slow_share >= SLOW_SHARE and self.base > self.floor:
            self.try_less(points, now_ms)
        return curve

    def fall(self, target: int, now_ms: int) -> None:
        """Lowers the room once enough decisions agree.

        :param target: the room to be reached
        :param now_ms: the current time
        """
        self.agreed += 1
        if self.agreed < AGREEING_DECISIONS:
            return
        self.base = max(target, int(self.base * FALL_FACTOR))
        self.why = Why.SATURATED
        self.probe_until_ms = self.trial_until_ms = 0
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self.trial_interval_ms = TRIAL_INTERVAL_MS
        self.next_trial_ms = now_ms + PROBE_MS

    def probe(
        self,
        points: collections.abc.Sequence[Point],
        variance: float,
        now_ms: int,
    ) -> None:
        """Raises the room if the upstream was seen to handle more.

        :param points: what was observed by all gateways
        :param variance: variance of the logarithm of single relative times
        :param now_ms: the current time
        """
        # What is known of more work than is probed may be outdated.
        log_most = math.log(self.probe_room * PROBE_MARGIN)
        probed = [point for point in points if point.log_load <= log_most]
        above = fit_above(probed, math.log(self.base), variance)
        if (
            above is not None
            and above.error <= MAX_RISE_ERROR
            and above.slope + above.error < SATURATED_SLOPE
        ):
            self.base = self.probe_room
            self.why = Why.RISES if self.base < self.slots else Why.NO_KNEE
            self.next_probe_ms = now_ms
        if self.base < self.slots and now_ms >= self.next_probe_ms:
            self.probe_until_ms = now_ms + PROBE_MS
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS

    def try_less(
        self, points: collections.abc.Sequence[Point], now_ms: int
    ) -> None:
        """Makes the room smaller for a while if little is known below it.

        :param points: what was observed by all gateways
        :param now_ms: the current time
        """
        log_most = math.log(max(1.0, self.base * TRIAL_LEVEL_SHARE))
        known = sum(
            point.weight
            for point in points
            if point.log_load <= log_most + 1e-9
        )
        if known >= TRIAL_WEIGHT:
            self.trial_until_ms = 0
        elif now_ms >= max(self.next_trial_ms, self.probe_until_ms):
            self.trial_until_ms = now_ms + TRIAL_MS
            self.next_trial_ms = now_ms + self.trial_interval_ms
            self.trial_interval_ms = min(
                MAX_TRIAL_INTERVAL_MS, 2 * self.trial_interval_ms
            )

    def refuse(self, load: int, now_ms: int) -> None:
        """Lowers the room after a refusal for overload.

        :param load: work in progress when it refused
        :param now_ms: the current time
        """
        if now_ms < self.refused_ms + REFUSED_INTERVAL_MS:
            return
        least = int(self.base * FALL_FACTOR)
        lower = max(1, least, int(load * REFUSED_FACTOR))
        if lower < self.base:
            self.refused_ms = now_ms
            self.base = lower
            self.why = Why.REFUSED
            self.probe_until_ms = self.trial_until_ms = 0
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS
