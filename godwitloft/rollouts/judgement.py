"""Judges a new version of a service's software by how it answers.

The new version is compared with the former ones on the same routes, by what
all gateways have counted since the order. Both get their requests all the
time in the same proportion, so that overload or a slow network concern both.

Failures and slow answers are tested with a mixture sequential probability
ratio test (Robbins 1970) of a portion: the likelihood of the counts, averaged
over all portions above that of the former versions, relative to the likelihood
at that portion. If the new version is as good, this ratio ever exceeds 1/a
with probability a at most (Ville's inequality), however often one looks.

An answer is slow in relation to the fast ones of the same upstream, so that
upstreams of unequal speed don't matter. A version that is slow on all routes
and in all answers shows in another test: the upstreams' mean logarithmic times
are compared by a t-test with shrunken variance (Smyth 2004), in which each
upstream counts once. A version passes it that is slower by less than
:data:`ACCEPTED_FACTOR`, as one with empty caches is.
"""

import collections
import dataclasses
import enum
import functools
import math
import typing

from godwitloft.rollouts import evidence

# Of a good version's answers, a portion may be bad that is larger than the
# former one by this factor and this much: upstreams are not all alike.
MARGIN_FACTOR = 1.2
MARGIN = 0.005
# An answer is slow that takes 2.8, 5.7 or 11 times as long as a quarter of the
# answers of its upstream, by the usual times of their routes. Where times vary
# much anyway, only the higher bounds tell versions apart.
SLOW_PLACES = (3.0, 5.0, 7.0)
# Bound on the ratio, for each route and kind of test.
FALSE_ALARM = 1 / 300
# Parts of the evidence that suffices, on a logarithmic scale. With the first,
# nothing is decided yet; with the second, a version gets all requests only
# once more answers have cleared it. Of 560 drawn good versions, 11 ended in
# doubt and none with the second.
DOUBT = 0.25
SUSPICION = 0.5
# Upper bounds of portions are taken so many standard errors up.
PORTION_ERRORS = 1.64
# A version is slow that is slower than this by a clear margin.
ACCEPTED_FACTOR = 1.6
SLOWER_CRITICAL = 2.4
# Variation of upstreams' speeds that is taken for granted, as the standard
# deviation of the logarithm, and how many upstreams' worth it is.
USUAL_DEVIATION = 0.35
USUAL_WEIGHT = 4.0
# With fewer timed answers, what is fast at an upstream isn't known.
MIN_TIMED = 4
# The first upstreams with answers are by chance fast or slow ones: the speed
# of all is compared once so many upstreams, or so many answers, have come.
MIN_UPSTREAMS = 3
MIN_TIMED_IN_ALL = 30
# With fewer answers of the new version, nothing is known.
MIN_ANSWERS = 12
PORTIONS = 24
FAST_SHARE = 0.25
LOG_OF_PLACE = math.log(2) / 2


class Kind(enum.Enum):
    """What the evidence says of a version."""

    GOOD_SO_FAR = "good_so_far"
    BAD = "bad"
    TOO_LITTLE = "too_little"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the evidence says, and why.

    :param kind: in short
    :param reason: the figures that decided, for operators
    :param bad_answers: answers of the new version that failed or were slow
    :param inputs: figures for logs
    :param suspicious: whether the evidence against it nearly suffices
    """

    kind: Kind
    reason: str
    bad_answers: int = 0
    inputs: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    suspicious: bool = False


@dataclasses.dataclass(frozen=True)
class Portion:
    """Counts of a new and the former versions.

    :param bad: bad answers of the new version
    :param answers: its answers
    :param former_bad: the same of the former versions
    :param former_answers: the same of the former versions
    """

    bad: int
    answers: int
    former_bad: int
    former_answers: int

    def text(self) -> str:
        """Returns the counts in words."""
        return (
            f"{self.bad} of {self.answers}, formerly"
            f" {self.former_bad} of {self.former_answers}"
        )


@dataclasses.dataclass(frozen=True)
class Finding:
    """What one test has found.

    :param what: what was tested
    :param counts: its counts, in words
    :param strength: logarithm of the evidence, relative to what suffices: 1
        or more is enough
    """

    what: str
    counts: str
    strength: float


def judge(
    counts: typing.Mapping[evidence.Key, evidence.Cell],
    to: str,
    former: typing.Container[str],
) -> Verdict:
    """Judges a version.

    :param counts: of all processes, for one roll-out
    :param to: the new version
    :param former: the former versions
    :return: the verdict
    """
    new = {key: cell for key, cell in counts.items() if key.version == to}
    old = {key: cell for key, cell in counts.items() if key.version in former}
    answered, former_answered = (
        evidence.sum_of(new.values()),
        evidence.sum_of(old.values()),
    )
    failures = failure_portions(new, old)
    usual = usual_places(old)
    times = times_by_upstream(new, usual), times_by_upstream(old, usual)
    slow = [slow_portions(*times, places) for places in SLOW_PLACES]
    findings = [
        *portion_findings("failed", [failures]),
        *portion_findings("slow", slow),
        *level_findings(*times),
    ]
    worst = max(findings, key=lambda found: found.strength, default=None)
    is_slower = worst is not None and worst.what == SLOWER
    bad_answers = answered.failed + (
        sum(answered.times) if is_slower else total(slow[0]).bad
    )
    # Of a long stream, only its beginning may be known.
    known = max(answered.answers, sum(answered.times))
    inputs = {
        "answers": answered.answers,
        "timed": sum(answered.times),
        "failed": answered.failed,
        "former_answers": former_answered.answers,
        "former_failed": former_answered.failed,
        "evidence": round(worst.strength, 2) if worst is not None else 0.0,
        "strongest": (
            f"{worst.what}: {worst.counts}"
            if worst is not None and worst.strength > 0
            else ""
        ),
    }
    if worst is not None and worst.strength >= 1:
        reason = f"{worst.what}: {worst.counts}"
        return Verdict(Kind.BAD, reason, bad_answers, inputs, True)
    strength = worst.strength if worst is not None else 0.0
    if strength >= DOUBT or known < MIN_ANSWERS:
        reason = f"{known} answers"
        if strength >= DOUBT and worst is not None:
            reason = f"in doubt, {worst.what}: {worst.counts}"
        return Verdict(
            Kind.TOO_LITTLE,
            reason,
            bad_answers,
            inputs,
            strength >= SUSPICION,
        )
    reason = (
        f"{answered.failed} of {answered.answers} answers failed, formerly"
    )
    reason += (
        f" {former_answered.failed} of {former_answered.answers}; none slower"
    )
    return Verdict(Kind.GOOD_SO_FAR, reason, bad_answers, inputs)


SLOWER = "all answers slower"


def failure_portions(
    new: typing.Mapping[evidence.Key, evidence.Cell],
    old: typing.Mapping[evidence.Key, evidence.Cell],
) -> dict[str, Portion]:
    """Returns the failed answers by route.

    :param new: counts of the new version
    :param old: counts of the former ones
    """
    counts: dict[str, list[int]] = {}
    for place, cells in ((0, new), (2, old)):
        for key, cell in cells.items():
            found = counts.setdefault(key.route, [0, 0, 0, 0])
            found[place] += cell.failed
            found[place + 1] += cell.answers
    return {route: Portion(*found) for route, found in counts.items()}


@dataclasses.dataclass
class Times:
    """Times of one upstream, relative to the usual ones of their routes.

    :param by_route: relative place of the time, and number of answers
    """

    by_route: dict[str, list[tuple[float, int]]]

    @functools.cached_property
    def number(self) -> int:
        """Number of timed answers."""
        return sum(
            count
            for times in self.by_route.values()
            for _place, count in times
        )

    @functools.cached_property
    def fast(self) -> float:
        """The time that a quarter of the answers don't exceed."""
        times = sorted(
            time for times in self.by_route.values() for time in times
        )
        rank = FAST_SHARE * sum(count for _place, count in times)
        passed = 0
        for place, count in times:
            passed += count
            if passed >= rank:
                return place
        return 0.0

    @property
    def mean(self) -> float:
        """The mean logarithm of the times."""
        sums = sum(
            place * count
            for times in self.by_route.values()
            for place, count in times
        )
        return LOG_OF_PLACE * sums / max(1, self.number)


def usual_places(
    old: typing.Mapping[evidence.Key, evidence.Cell],
) -> dict[str, float]:
    """Returns the mean place of the former versions' times, by route.

    :param old: counts of the former versions
    """
    sums: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for key, cell in old.items():
        for place, count in enumerate(cell.times):
            sums[key.route][0] += place * count
            sums[key.route][1] += count
    return {
        route: total / count for route, (total, count) in sums.items() if count
    }


def times_by_upstream(
    cells: typing.Mapping[evidence.Key, evidence.Cell],
    usual: typing.Mapping[str, float],
) -> list[Times]:
    """Returns the times of each upstream.

    :param cells: counts of some versions
    :param usual: what :func:`usual_places` has returned
    """
    found: dict[str, Times] = {}
    for key, cell in cells.items():
        if key.route not in usual:
            continue
        times = found.setdefault(key.upstream, Times({}))
        times.by_route[key.route] = [
            (place - usual[key.route], count)
            for place, count in enumerate(cell.times)
            if count
        ]
    return [times for times in found.values() if times.number]


def slow_portions(
    new: list[Times], old: list[Times], places: float
) -> dict[str, Portion]:
    """Returns the slow answers by route.

    :param new: times of the new version, by upstream
    :param old: times of the former ones
    :param places: how many places behind the fast ones of an upstream a slow
        one is
    """
    counts: dict[str, list[int]] = {}
    for start, upstreams in ((0, new), (2, old)):
        for times in upstreams:
            if times.number < MIN_TIMED:
                continue
            bound = times.fast + places
            for route, answers in times.by_route.items():
                found = counts.setdefault(route, [0, 0, 0, 0])
                for place, count in answers:
                    found[start] += count if place > bound else 0
                    found[start + 1] += count
    return {route: Portion(*found) for route, found in counts.items()}


def portion_findings(
    what: str, tests: typing.Sequence[typing.Mapping[str, Portion]]
) -> list[Finding]:
    """Tests portions of bad answers, on each route and on all.

    :param what: what is bad in them
    :param tests: portions by route, for each bound beyond which it is bad
    :return: findings
    """
    logs: dict[str, list[float]] = {}
    counts: dict[str, list[str]] = {}
    together = f"{what} on all routes"
    for portions in tests:
        summed = [0.0] * PORTIONS
        for route, portion in portions.items():
            if not portion.answers or not portion.former_answers:
                continue
            ratios = log_ratios(portion)
            summed = [sum(pair) for pair in zip(summed, ratios, strict=True)]
            name = f"{what} on {route}"
            logs.setdefault(name, []).extend(ratios)
            counts.setdefault(name, []).append(portion.text())
        logs.setdefault(together, []).extend(summed)
        counts.setdefault(together, []).append(total(portions).text())
    enough = math.log(len(logs) / FALSE_ALARM)
    findings = []
    for name, ratios in logs.items():
        found = log_mean(ratios)
        # The bound of the strongest ratio is the one to report.
        strongest = ratios.index(max(ratios)) // PORTIONS
        text = counts[name][strongest]
        findings.append(Finding(name, text, found / enough))
    return findings


def total(portions: typing.Mapping[str, Portion]) -> Portion:
    """Returns the counts of all routes together.

    :param portions: by route
    """
    return Portion(
        *(
            sum(getattr(portion, field.name) for portion in portions.values())
            for field in dataclasses.fields(Portion)
        )
    )


def log_ratios(portion: Portion) -> list[float]:
    """Returns likelihoods of counts relative to those of a good version.

    :param portion: the counts
    :return: logarithms, for portions between that of a good version and 1
    """
    good = upper_portion(portion.former_bad, portion.former_answers)
    good = min(0.95, MARGIN + MARGIN_FACTOR * good)
    sound = portion.answers - portion.bad
    logs = []
    for step in range(PORTIONS):
        # Closer to each other where they are small, as bad versions seldom
        # fail always.
        worse = good + (1 - good) * ((step + 0.5) / PORTIONS) ** 2
        logs.append(
            portion.bad * math.log(worse / good)
            + sound * math.log((1 - worse) / (1 - good))
        )
    return logs


def log_mean(logs: list[float]) -> float:
    """Returns the logarithm of the mean of numbers.

    :param logs: their logarithms
    """
    most = max(logs)
    mean = sum(math.exp(log - most) for log in logs) / len(logs)
    return most + math.log(mean)


def upper_portion(bad: int, answers: int) -> float:
    """Returns the upper end of Wilson's interval of a portion.

    :param bad: bad answers
    :param answers: all answers, more than none
    """
    square = PORTION_ERRORS**2
    center = (bad + square / 2) / (answers + square)
    spread = math.sqrt(bad * (answers - bad) / answers + square / 4)
    return min(1.0, center + PORTION_ERRORS * spread / (answers + square))


def level_findings(new: list[Times], old: list[Times]) -> list[Finding]:
    """Tests whether the upstreams of a new version are slower altogether.

    :param new: times of the new version, by upstream
    :param old: times of the former ones
    :return: a finding, none without upstreams to compare
    """
    compared = [times for times in new if times.number >= MIN_TIMED]
    means = [times.mean for times in compared]
    former = [times.mean for times in old]
    timed = sum(times.number for times in compared)
    is_enough = len(means) >= MIN_UPSTREAMS or timed >= MIN_TIMED_IN_ALL
    if not is_enough or not former:
        return []
    mean, former_mean = average(means), average(former)
    squares = sum((value - mean) ** 2 for value in means)
    squares += sum((value - former_mean) ** 2 for value in former)
    freedom = USUAL_WEIGHT + len(means) + len(former) - 2
    variance = (USUAL_WEIGHT * USUAL_DEVIATION**2 + squares) / freedom
    error = math.sqrt(variance * (1 / len(means) + 1 / len(former)))
    statistic = (mean - former_mean - math.log(ACCEPTED_FACTOR)) / error
    deviations = normal_deviations(statistic, freedom)
    counts = (
        f"{math.exp(mean - former_mean):.1f} times as long at {len(means)}"
        f" upstreams as at {len(former)} former ones"
    )
    # The logarithm of a probability falls about with the square.
    strength = math.copysign((deviations / SLOWER_CRITICAL) ** 2, deviations)
    return [Finding(SLOWER, counts, strength)]


def average(values: list[float]) -> float:
    """Returns the mean of numbers.

    :param values: at least one
    """
    return sum(values) / len(values)


def normal_deviations(statistic: float, freedom: float) -> float:
    """Returns the normal deviate as improbable as one of Student's t.

    It is Wallace's approximation (1959).

    :param statistic: value of Student's t
    :param freedom: its degrees of freedom
    """
    scale = (8 * freedom + 1) / (8 * freedom + 3)
    deviate = scale * math.sqrt(freedom * math.log(1 + statistic**2 / freedom))
    return math.copysign(deviate, statistic)
