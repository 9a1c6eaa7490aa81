"""Draws the faults of a soak test from a seed."""

import dataclasses
import random

MS_PER_S = 1000
FIRST_FAULT_MS = 2_000
# No faults at the end, so that recovery can be checked.
FAULT_FREE_END_MS = 12_000
MEAN_GAP_MS = 1_200
SERIES_SHARE = 0.25
MAX_SERIES_LENGTH = 4
SERIES_GAP_MS = (150, 900)

# Kinds of faults: target, shortest and longest duration in milliseconds. A
# fault of duration 0 is instantaneous.
FIRST_KINDS: dict[str, tuple[str, int, int]] = {
    "kill": ("entry", 300, 4_000),
    "terminate": ("entry", 6_500, 9_000),
    "pause": ("entry", 200, 5_000),
    "reload": ("entry", 0, 0),
    "kill_agent": ("agent", 300, 4_000),
    "pause_agent": ("agent", 200, 4_000),
    "store_away": ("store", 300, 6_000),
    "store_forgets": ("store", 0, 0),
    "store_delay": ("store", 500, 4_000),
    "store_silent": ("store", 500, 5_000),
    "store_reset": ("store", 0, 0),
    "delay": ("runner", 300, 3_000),
    "silent": ("runner", 300, 5_000),
    "deaf": ("runner", 300, 5_000),
    "reset": ("runner", 0, 0),
    "refuse_connections": ("runner", 300, 4_000),
    "drain": ("runner", 4_000, 8_000),
    "gone": ("runner", 1_000, 6_000),
    "lose_answers": ("runner", 0, 0),
    "misdirect": ("runner", 0, 0),
    "refuse": ("runner", 0, 0),
    "cut_streams": ("runner", 0, 0),
    "withdraw_key": ("configuration", 4_000, 9_000),
    "withdraw_route": ("configuration", 4_000, 9_000),
}
# These are drawn apart, so that the faults of a seed stay what they were.
LATER_KINDS: dict[str, tuple[str, int, int]] = {
    "store_restored": ("store", 300, 3_000),
    "say_leaving": ("runner", 4_000, 8_000),
    "ask_pause": ("runner", 2_000, 6_000),
    "break_unframed": ("runner", 0, 0),
}
LATER_MEAN_GAP_MS = 1_000
LIMIT_KINDS: dict[str, tuple[str, int, int]] = {
    "name_limit": ("runner", 5_000, 12_000),
}
LIMIT_MEAN_GAP_MS = 3_000
CRASH_KINDS: dict[str, tuple[str, int, int]] = {
    "crash_part": ("models", 5_000, 12_000),
}
CRASH_MEAN_GAP_MS = 12_000
DEATH_KINDS: dict[str, tuple[str, int, int]] = {
    "die_unframed": ("runner", 2_000, 4_000),
}
DEATH_MEAN_GAP_MS = 5_000
UNMARKED_KINDS: dict[str, tuple[str, int, int]] = {
    "close_unframed": ("runner", 0, 0),
    "whole_unframed": ("runner", 0, 0),
}
UNMARKED_MEAN_GAP_MS = 2_000
# Writes without an answer, which the store performs seconds later.
LOST_WRITE_KINDS: dict[str, tuple[str, int, int]] = {
    "store_loses_writes": ("store", 1_000, 4_500),
}
LOST_WRITE_MEAN_GAP_MS = 8_000
# Runners that leave out the framing of some of all their answers.
UNFRAMED_KINDS: dict[str, tuple[str, int, int]] = {
    "answers_unframed": ("runner", 6_000, 20_000),
}
UNFRAMED_MEAN_GAP_MS = 3_000
# SIGTERM of gateways in turn, of all at once, and of one again soon after its
# start.
STOP_KINDS: dict[str, tuple[str, int, int]] = {
    "stop_in_turn": ("entry", 6_500, 7_500),
    "stop_all": ("entry", 6_500, 7_500),
    "stop_started": ("entry", 6_500, 7_500),
}
STOP_MEAN_GAP_MS = 10_000
FIRST_STOP_MS = 6_000
STOP_IN_TURN_GAP_MS = 8_000
STOP_STARTED_MS = (200, 3_000)
RESTART_KINDS: dict[str, tuple[str, int, int]] = {
    "kill_all": ("entry", 300, 9_000),
    "kill_series": ("entry", 300, 2_000),
}
# Rare, as callers find no gateway meanwhile.
RESTART_MEAN_GAP_MS = 14_000
TWICE_KINDS: dict[str, tuple[str, int, int]] = {
    "terminate_twice": ("entry", 6_500, 9_000),
}
TWICE_MEAN_GAP_MS = 5_000
# Not beside the first kills.
FIRST_TWICE_MS = 6_000
# Between the kills of a kill_series.
KILL_SERIES_GAP_MS = 500
# Signals while a gateway drains after the first of a terminate_twice. They
# are part of that fault and excuse nothing by themselves.
DRAIN_KINDS: dict[str, tuple[str, int, int]] = {
    "hang_up_again": ("entry", 0, 0),
    "terminate_again": ("entry", 0, 0),
}
AGAIN_MS = (300, 3_000)
# Beside roll-outs. With all kinds, few versions get enough requests to be
# judged, and few orders outlive the store.
BESIDE_ROLLOUTS: dict[str, tuple[str, int, int]] = {
    "kill": ("entry", 300, 4_000),
    "terminate": ("entry", 6_500, 7_500),
    "pause": ("entry", 200, 3_000),
    "store_away": ("store", 300, 4_000),
    "store_delay": ("store", 500, 3_000),
    "store_restored": ("store", 300, 2_000),
    "drain": ("runner", 4_000, 6_000),
    "burst": ("callers", 1_000, 3_000),
}
BESIDE_ROLLOUTS_GAP_MS = 8_000
# These stop a gateway without loss; the verdict judges all alike.
GRACEFUL_KINDS = ("terminate", "terminate_twice", *STOP_KINDS)
HANG_UP_SHARE = 0.5
KINDS = (
    FIRST_KINDS
    | LATER_KINDS
    | LIMIT_KINDS
    | CRASH_KINDS
    | DEATH_KINDS
    | UNMARKED_KINDS
    | LOST_WRITE_KINDS
    | UNFRAMED_KINDS
    | STOP_KINDS
    | RESTART_KINDS
    | TWICE_KINDS
    | DRAIN_KINDS
    | BESIDE_ROLLOUTS
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault to be injected.

    :param at_ms: time since the start of the soak test
    :param kind: one of :data:`KINDS`
    :param target: index of the entry, agent or runner; 0 for other targets
    :param duration_ms: how long it lasts, 0 if it is instantaneous
    """

    at_ms: int
    kind: str
    target: int
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class Size:
    """Number of processes by role.

    :param entries: gateways
    :param agents: one beside each of the first runners
    :param runners: of both services together
    """

    entries: int
    agents: int
    runners: int

    def count(self, target_kind: str) -> int:
        """Returns how many targets of a kind there are.

        :param target_kind: first field of the values of :data:`KINDS`
        :return: at least 1
        """
        counts = {
            "entry": self.entries,
            "agent": self.agents,
            "runner": self.runners,
        }
        return counts.get(target_kind, 1)


def draw(
    seed: int, seconds: float, size: Size, restarts_only: bool = False
) -> tuple[Fault, ...]:
    """Draws all faults of a soak test.

    :param seed: of the random number generator
    :param seconds: length of the soak test
    :param size: of the deployment
    :param restarts_only: whether to leave out all but :data:`RESTART_KINDS`,
        :data:`STOP_KINDS` and :data:`TWICE_KINDS`, which others would excuse,
        and :data:`UNFRAMED_KINDS`, which excuse nothing
    :return: faults in order of time; some come in series, and they may
        overlap
    """
    end_ms = int(seconds * MS_PER_S) - FAULT_FREE_END_MS
    first = draw_kinds(
        random.Random(seed), FIRST_KINDS, MEAN_GAP_MS, end_ms, size
    )
    later = draw_kinds(
        random.Random(f"{seed} later"),
        LATER_KINDS,
        LATER_MEAN_GAP_MS,
        end_ms,
        size,
    )
    limits = draw_kinds(
        random.Random(f"{seed} limits"),
        LIMIT_KINDS,
        LIMIT_MEAN_GAP_MS,
        end_ms,
        size,
    )
    crashes = draw_kinds(
        random.Random(f"{seed} crashes"),
        CRASH_KINDS,
        CRASH_MEAN_GAP_MS,
        end_ms,
        size,
    )
    deaths = draw_kinds(
        random.Random(f"{seed} deaths"),
        DEATH_KINDS,
        DEATH_MEAN_GAP_MS,
        end_ms,
        size,
    )
    unmarked = draw_kinds(
        random.Random(f"{seed} unmarked"),
        UNMARKED_KINDS,
        UNMARKED_MEAN_GAP_MS,
        end_ms,
        size,
    )
    lost_writes = draw_kinds(
        random.Random(f"{seed} lost writes"),
        LOST_WRITE_KINDS,
        LOST_WRITE_MEAN_GAP_MS,
        end_ms,
        size,
    )
    unframed = draw_kinds(
        random.Random(f"{seed} unframed"),
        UNFRAMED_KINDS,
        UNFRAMED_MEAN_GAP_MS,
        end_ms,
        size,
    )
    stops = draw_stops(random.Random(f"{seed} stops"), end_ms, size)
    restarts = draw_restarts(random.Random(f"{seed} restarts"), end_ms, size)
    twice = draw_twice(random.Random(f"{seed} twice"), end_ms, size)
    found = unframed + stops + restarts + twice
    if not restarts_only:
        found = first + later + limits + crashes + deaths + unmarked + found
        found += lost_writes
    return tuple(sorted(found, key=lambda fault: fault.at_ms))


def draw_beside_rollouts(
    seed: int, seconds: float, size: Size
) -> tuple[Fault, ...]:
    """Draws the faults of a soak test in which versions are rolled out.

    :param seed: of the random number generator
    :param seconds: length of the soak test
    :param size: of the deployment
    :return: faults in order of time
    """
    end_ms = int(seconds * MS_PER_S) - FAULT_FREE_END_MS
    found = draw_kinds(
        random.Random(f"{seed} beside roll-outs"),
        BESIDE_ROLLOUTS,
        BESIDE_ROLLOUTS_GAP_MS,
        end_ms,
        size,
    )
    return tuple(sorted(found, key=lambda fault: fault.at_ms))


def draw_kinds(
    rng: random.Random,
    kinds: dict[str, tuple[str, int, int]],
    mean_gap_ms: int,
    end_ms: int,
    size: Size,
    first_ms: int = FIRST_FAULT_MS,
) -> list[Fault]:
    """Draws faults of some kinds.

    :param rng: the random number generator
    :param kinds: part of :data:`KINDS`
    :param mean_gap_ms: mean time between two faults or series
    :param end_ms: when all faults must have ended
    :param size: of the deployment
    :param first_ms: when the first one begins
    :return: the faults
    """
    found: list[Fault] = []
    at_ms = first_ms
    while at_ms < end_ms:
        kind = rng.choice(sorted(kinds))
        target_kind, shortest_ms, longest_ms = kinds[kind]
        repeats = 1
        if rng.random() < SERIES_SHARE:
            repeats = rng.randint(2, MAX_SERIES_LENGTH)
        duration_ms = rng.randint(shortest_ms, longest_ms)
        target = rng.randrange(size.count(target_kind))
        start_ms = at_ms
        for _ in range(repeats):
            clipped_ms = max(0, min(duration_ms, end_ms - start_ms))
            if start_ms < end_ms:
                found.append(Fault(start_ms, kind, target, clipped_ms))
            start_ms += duration_ms + rng.randint(*SERIES_GAP_MS)
        at_ms += int(rng.expovariate(1 / mean_gap_ms)) + 1
    return found


def draw_restarts(rng: random.Random, end_ms: int, size: Size) -> list[Fault]:
    """Draws kills of all gateways, at one moment or in turn.

    :param rng: the random number generator
    :param end_ms: when all faults must have ended
    :param size: of the deployment
    :return: the faults, one for each gateway that is killed
    """
    found: list[Fault] = []
    for fault in draw_kinds(
        rng, RESTART_KINDS, RESTART_MEAN_GAP_MS, end_ms, size
    ):
        gap_ms = KILL_SERIES_GAP_MS if fault.kind == "kill_series" else 0
        for number in range(size.entries):
            at_ms = fault.at_ms + number * gap_ms
            duration_ms = min(fault.duration_ms, end_ms - at_ms)
            if duration_ms > 0:
                target = (fault.target + number) % size.entries
                found.append(Fault(at_ms, fault.kind, target, duration_ms))
    return found


def draw_stops(rng: random.Random, end_ms: int, size: Size) -> list[Fault]:
    """Draws stops of several gateways, or of one that has just started.

    :param rng: the random number generator
    :param end_ms: when all faults must have ended
    :param size: of the deployment
    :return: the faults, one for each stop; none that would have less than its
        time
    """
    found: list[Fault] = []
    for fault in draw_kinds(
        rng, STOP_KINDS, STOP_MEAN_GAP_MS, end_ms, size, FIRST_STOP_MS
    ):
        found.extend(
            stop
            for stop in stops_of(rng, fault, size)
            if stop.at_ms + stop.duration_ms <= end_ms
            and stop.duration_ms >= STOP_KINDS[fault.kind][1]
        )
    return found


def stops_of(rng: random.Random, fault: Fault, size: Size) -> list[Fault]:
    """Returns the single stops of one of :data:`STOP_KINDS`.

    :param rng: the random number generator
    :param fault: the first of them
    :param size: of the deployment
    """
    if fault.kind == "stop_started":
        again_ms = fault.duration_ms + rng.randint(*STOP_STARTED_MS)
        again = dataclasses.replace(fault, at_ms=fault.at_ms + again_ms)
        return [fault, again]
    gap_ms = STOP_IN_TURN_GAP_MS if fault.kind == "stop_in_turn" else 0
    return [
        dataclasses.replace(
            fault,
            at_ms=fault.at_ms + number * gap_ms,
            target=(fault.target + number) % size.entries,
        )
        for number in range(size.entries)
    ]


def draw_twice(rng: random.Random, end_ms: int, size: Size) -> list[Fault]:
    """Draws stops of gateways that get further signals while they drain.

    :param rng: the random number generator
    :param end_ms: when all faults must have ended
    :param size: of the deployment
    :return: the faults and their signals; none for a stop that would have
        less than its time
    """
    found: list[Fault] = []
    for fault in draw_kinds(
        rng, TWICE_KINDS, TWICE_MEAN_GAP_MS, end_ms, size, FIRST_TWICE_MS
    ):
        if fault.duration_ms >= TWICE_KINDS[fault.kind][1]:
            found.append(fault)
            found.extend(draw_signals_again(rng, fault))
    return found


def draw_signals_again(rng: random.Random, fault: Fault) -> list[Fault]:
    """Draws the signals that come while a gateway drains.

    :param rng: the random number generator
    :param fault: a terminate_twice
    :return: a second SIGTERM, and at times SIGHUP before it
    """
    again_ms = rng.randint(*AGAIN_MS)
    hang_up_ms = rng.randint(1, again_ms)
    kinds = [(again_ms, "terminate_again")]
    if rng.random() < HANG_UP_SHARE:
        kinds.insert(0, (hang_up_ms, "hang_up_again"))
    return [
        Fault(fault.at_ms + after_ms, kind, fault.target, 0)
        for after_ms, kind in kinds
    ]
