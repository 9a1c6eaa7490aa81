"""Runs a soak from its start to its verdict."""

import collections
import dataclasses
import heapq
import pathlib
import tempfile
import time
import typing

from bench.soak import callers
from bench.soak import deployment
from bench.soak import plan
from bench.soak import verdict

SMALLEST = 6
CALLERS_PER_ENTRY = 5
LAST_RUNS_S = 1.0
SHOWN_BREACHES = 10


@dataclasses.dataclass(frozen=True)
class Soak:
    """What is run.

    :param seed: decides everything random
    :param seconds: how long requests are sent
    :param processes: of ours, at least :data:`SMALLEST`
    :param mistakes: switches of the stand-in runners, for tests
    """

    seed: int = 1
    seconds: float = 40.0
    processes: int = SMALLEST
    mistakes: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


def size_for(processes: int) -> plan.Size:
    """Divides processes among roles.

    :param processes: how many of ours there may be
    :return: half of them entries, half agents, one runner more than agents
    """
    entries = max(3, processes // 2)
    agents = max(3, processes - entries)
    return plan.Size(entries, agents, agents + 1)


def run(soak: Soak) -> dict[str, typing.Any]:
    """Runs a soak.

    :param soak: what is run
    :return: figures, and breaches by promise
    """
    size = size_for(soak.processes)
    faults = plan.draw(soak.seed, soak.seconds, size)
    with tempfile.TemporaryDirectory() as directory:
        world = deployment.Deployment(pathlib.Path(directory), size)
        try:
            world.start()
            if soak.mistakes:
                world.control(
                    runners=dict.fromkeys(world.runners, soak.mistakes)
                )
            crowd = callers.Crowd(
                world, CALLERS_PER_ENTRY * size.entries, soak.seed
            )
            crowd.start()
            try:
                play(world, faults, soak.seconds)
            finally:
                told = crowd.stop()
            history = collect(world, told)
        finally:
            world.stop()
        history.own_ends = world.own_ends
    return report(soak, faults, history)


def play(
    world: deployment.Deployment,
    faults: typing.Sequence[plan.Fault],
    seconds: float,
) -> None:
    """Brings faults about at their times, and ends them.

    :param world: what they hit
    :param faults: in the order of their times
    :param seconds: length of the soak
    """
    start = time.monotonic()
    due: list[tuple[float, int, plan.Fault, deployment.Mark | None]] = []
    for number, fault in enumerate(faults):
        heapq.heappush(due, (fault.at_ms / 1000, number, fault, None))
    number = len(faults)
    while due:
        at_s, _, fault, mark = heapq.heappop(due)
        time.sleep(max(0.0, start + at_s - time.monotonic()))
        if mark is not None:
            world.end(fault, mark)
            continue
        mark = world.begin(fault)
        number += 1
        ends_s = at_s + fault.for_ms / 1000
        heapq.heappush(due, (ends_s, number, fault, mark))
    time.sleep(max(0.0, start + seconds - time.monotonic()))


def collect(
    world: deployment.Deployment, told: list[callers.Told]
) -> verdict.History:
    """Puts together what was seen.

    :param world: whose runners are asked
    :param told: by callers
    :return: the history
    """
    time.sleep(LAST_RUNS_S)
    runs = [
        verdict.Run(
            id=one["id"],
            runner=runner,
            at_ms=one["at_ms"],
            ended_ms=one["ended_ms"],
            team=one["team"],
            key=one["key"],
            hold=one["hold"],
            path=one["path"],
        )
        for runner, ledger in world.fetch("/ledger").items()
        for one in ledger
    ]
    turned_away = [
        verdict.Run(id=one["id"], runner=runner, at_ms=one["at_ms"])
        for runner, arrivals in world.fetch("/turned-away").items()
        for one in arrivals
    ]
    return verdict.History(
        told=told,
        runs=runs,
        turned_away=turned_away,
        marks=world.marks,
        end_ms=deployment.now_ms(),
    )


def report(
    soak: Soak,
    faults: typing.Sequence[plan.Fault],
    history: verdict.History,
) -> dict[str, typing.Any]:
    """Returns the figures of a soak.

    :param soak: what was run
    :param faults: of its plan
    :param history: what was seen
    :return: what JSON can hold
    """
    statuses = collections.Counter(
        "cut"
        if told.status == 200 and not told.is_whole and not told.left_ms
        else str(told.status)
        for told in history.told
    )
    problems = collections.Counter(
        told.problem for told in history.told if told.problem
    )
    breaches = verdict.judge(history)
    return {
        "seed": soak.seed,
        "seconds": soak.seconds,
        "processes": soak.processes,
        "requests": len(history.told),
        "runs": len(history.runs),
        "statuses": dict(sorted(statuses.items())),
        "problems": dict(sorted(problems.items())),
        "faults": dict(
            sorted(collections.Counter(one.kind for one in faults).items())
        ),
        "breaches": {
            name: found[:SHOWN_BREACHES] for name, found in breaches.items()
        },
    }
