"""Plays requests that crash engines, with everything else drawn by a seed."""

import dataclasses
import logging
import multiprocessing
import random
import sys

from features.support import crashing_engines

SOUND_GAP_MS = 200
CALM_S = 2
CRASHING_S = 50
# What came later may not have been answered yet.
LAST_ANSWERS_MS = 5500
# The targets: sound requests are served again this long after the last new
# cause came, and a cause reaches engines at most this often once it is known.
SERVED_AFTER_MS = 10_000
MIN_SERVED_SHARE = 0.95
MAX_LATE = 3
# Of all engines together, until each cause can be known.
MAX_BUSY_MS = 10_000
CRASHES_BEFORE_BOUND = {"request": 3, "part": 5}


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a seed has drawn.

    :param kind: what crashes engines: requests, parts or both
    :param causes: how many of each kind
    :param gap_ms: time between two crashing requests of a kind
    :param restarts: seconds after which all gateways restart, if any
    """

    seed: int
    gateways: int
    engines: int
    kind: str
    causes: int
    gap_ms: int
    answer_ms: int
    crash_ms: int
    down_ms: int
    datagram_loss: float
    shares_parts: bool
    restarts: tuple[int, ...]


def draw(seed):
    """Returns the plan of a seed."""
    plan = draw_any(random.Random(seed), seed)
    while plan.causes > 1 and busy_ms(plan) > MAX_BUSY_MS:
        plan = dataclasses.replace(plan, causes=plan.causes - 1)
    return plan


def busy_ms(plan):
    """Returns how long all engines are down until each cause is known."""
    crashes = sum(CRASHES_BEFORE_BOUND[kind] for kind in kinds(plan))
    return plan.causes * crashes * plan.down_ms // plan.engines


def kinds(plan):
    """Returns the kinds of causes in a plan."""
    return ("request", "part") if plan.kind == "both" else (plan.kind,)


def draw_any(rng, seed):
    """Returns a plan, in which engines may be down most of the time."""
    return Plan(
        seed=seed,
        gateways=rng.choice((1, 2, 4, 4, 6, 12, 29)),
        engines=rng.choice((2, 3, 6, 6, 12, 18, 27)),
        kind=rng.choice(("request", "request", "part", "both")),
        causes=rng.choice((1, 2, 3, 6, 12, 20)),
        gap_ms=rng.choice((100, 200, 300, 1000, 3000)),
        answer_ms=rng.choice((100, 300, 1000, 4000)),
        crash_ms=rng.choice((10, 60, 300)),
        down_ms=rng.choice((500, 1500, 3000, 6000)),
        datagram_loss=rng.choice((0.0, 0.0, 0.02, 0.1, 0.3)),
        shares_parts=rng.random() < 0.5,
        restarts=rng.choice(((), (), (20,), (15, 25))),
    )


def make_fleet(plan):
    """Returns the fleet of a plan, after some calm seconds."""
    engines = crashing_engines.CrashingEngines(
        plan.gateways, plan.engines, plan.seed
    )
    engines.answer_ms = plan.answer_ms
    engines.crash_ms = plan.crash_ms
    engines.down_ms = plan.down_ms
    engines.datagram_loss = plan.datagram_loss
    if plan.shares_parts:
        engines.repeated_parts = lambda number: (f"aa{number % 3}",)
    engines.run(CALM_S * 1000, SOUND_GAP_MS)
    return engines


def play(plan):
    """Plays a plan and returns the fleet afterwards."""
    engines = make_fleet(plan)
    gaps = {}
    if "request" in kinds(plan):
        gaps["repeat_gap_ms"] = plan.gap_ms
        gaps["repeated"] = plan.causes
    if "part" in kinds(plan):
        gaps["bad_gap_ms"] = plan.gap_ms
        gaps["bad_parts"] = plan.causes
    return run_with_restarts(engines, plan, **gaps)


def run_with_restarts(engines, plan, **gaps):
    """Lets a fleet run, with the restarts of its gateways, and returns it."""
    played_s = 0
    for until_s in (*plan.restarts, CRASHING_S):
        engines.run((until_s - played_s) * 1000, SOUND_GAP_MS, **gaps)
        played_s = until_s
        if until_s < CRASHING_S:
            for number in range(plan.gateways):
                engines.restart(number)
    return engines


def calm_share(plan, since_ms, until_ms):
    """Returns the share of sound requests served if none crashes engines."""
    engines = run_with_restarts(make_fleet(plan), plan)
    return engines.begun_share(since_ms, until_ms)


def late_causes(engines):
    """Returns how often each cause came too late, if more than tolerated."""
    found = {}
    for cause in engines.crashes_by:
        late = engines.late_arrivals(cause, crashes_before_bound(cause))
        if len(late) > MAX_LATE:
            found[cause] = len(late)
    return found


def last_due_ms(engines, plan):
    """Returns when all causes had come often enough to be known.

    Engines can't crash while they are down, which takes at least
    :func:`busy_ms` from the first crash on.
    """
    due_ms = max(
        asked_ms[min(crashes_before_bound(cause), len(asked_ms)) - 1]
        for cause, asked_ms in engines.asked_ms.items()
    )
    return max(due_ms, min(engines.crashes_ms) + busy_ms(plan))


def crashes_before_bound(cause):
    """Returns how many crashes of a cause show what it is."""
    return CRASHES_BEFORE_BOUND["request" if cause.startswith("/") else "part"]


def run(seed):
    """Plays a seed and returns what was broken, a line each."""
    plan = draw(seed)
    engines = play(plan)
    breaches = [
        f"{cause} came {count} times too late"
        for cause, count in sorted(late_causes(engines).items())
    ]
    since_ms = last_due_ms(engines, plan) + SERVED_AFTER_MS
    until_ms = engines.now_ms() - LAST_ANSWERS_MS
    if since_ms < until_ms:
        served = engines.begun_share(since_ms, until_ms)
        if served < MIN_SERVED_SHARE:
            calm = calm_share(plan, since_ms, until_ms)
            if served < MIN_SERVED_SHARE * calm:
                breaches.append(f"served {served:.3f}, {calm:.3f} if calm")
    return breaches


def search(first, count, jobs):
    """Plays seeds in several processes and prints those with breaches."""
    with multiprocessing.Pool(jobs) as pool:
        seeds = range(first, first + count)
        found = [
            (seed, breaches)
            for seed, breaches in zip(seeds, pool.map(run, seeds), strict=True)
            if breaches
        ]
    for seed, breaches in found:
        print(seed, breaches, draw(seed))
    print(f"{count} seeds, {len(found)} broken")


if __name__ == "__main__":
    logging.disable()
    search(*map(int, sys.argv[1:]))
