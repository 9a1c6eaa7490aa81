"""Simulates the load that a fleet of guards puts on one platform.

``rush``: every process makes one call at the same moment. ``outage``: every
process reads at an interval while the platform is down for a while. Both run
on a simulated clock. ``python -m bench.store_rush`` prints the table in
docs/PLATFORM.md.
"""

import collections
import dataclasses
import logging
import random
import sys
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.store import faults
from godwitloft.store import guard
from godwitloft.store import memory
from godwitloft.store import port

START_S = 100.0
STEP_S = 0.005
RUSH_S = 120.0
POLL_S = 2.0
OUTAGE_S = 30.0
RECOVERY_S = 30.0
SIZES = (8, 128, 1000)
SETTINGS = guard.GuardSettings()


@dataclasses.dataclass(frozen=True)
class Rush:
    """Result of a rush.

    :param answered: calls that succeeded
    :param failed: calls that failed without effect
    :param refused: attempts that the platform refused by its rate limit
    :param last_ms: time until the last call succeeded
    """

    answered: int
    failed: int
    refused: int
    last_ms: float


@dataclasses.dataclass(frozen=True)
class Recovery:
    """Result of an outage.

    :param calls_per_s: attempts per second that reached the platform while it
        was down
    :param most_per_s: highest number of attempts in a second after it
    :param first_half_ms: time until half of the processes had a response
    :param last_ms: time until all processes had a response
    """

    calls_per_s: float
    most_per_s: int
    first_half_ms: float
    last_ms: float


class Fleet:
    """Guards of many processes in front of one platform.

    :param processes: number of processes
    :param seed: of the random number generators
    :param settings: bounds of each guard
    """

    def __init__(
        self,
        processes: int,
        seed: int,
        settings: guard.GuardSettings = SETTINGS,
    ) -> None:
        self.reactor = task.Clock()
        self.reactor.advance(START_S)
        self.random = random.Random(seed)
        self.injector = CountingInjector(self.reactor)
        self.store = memory.Store(clocks.reactor_clock(self.reactor))
        self.refused = 0
        inner = memory.platform(self.store, self.reactor, self.injector)
        self.platforms = [
            guard.Guard(
                inner,
                self.reactor,
                settings,
                lambda: processes,
                random.Random(self.random.random()),
                self.count_retry,
            ).platform()
            for _ in range(processes)
        ]

    def count_retry(self, reason: str) -> None:
        """Counts retries that are due to the rate limit.

        :param reason: why a call is retried
        """
        self.refused += reason == guard.RATE_LIMITED

    def run_for(
        self,
        duration_s: float,
        done: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        """Advances the simulated clock.

        :param duration_s: by how much at most
        :param done: stops early when it returns true
        """
        end_s = self.reactor.seconds() + duration_s
        while self.reactor.seconds() < end_s and not done():
            self.reactor.advance(STEP_S)


class CountingInjector(faults.Injector):
    """Counts the attempts that reach the platform in each second.

    :param reactor: the simulated clock
    """

    def __init__(self, reactor: task.Clock) -> None:
        super().__init__()
        self.reactor = reactor
        self.by_second: collections.Counter[int] = collections.Counter()

    def decide(self, service: port.Service, is_write: bool) -> faults.Decision:
        """Counts the attempt, then decides as the base class does.

        :param service: the service called
        :param is_write: whether the call changes anything
        :return: the decision
        """
        self.by_second[int(self.reactor.seconds())] += 1
        return super().decide(service, is_write)


def rush(
    processes: int,
    is_write: bool,
    seed: int = 1,
    settings: guard.GuardSettings = SETTINGS,
) -> Rush:
    """Simulates one call of every process at the same moment.

    :param processes: number of processes
    :param is_write: whether the calls are writes
    :param seed: of the random number generators
    :param settings: bounds of each guard
    :return: result of the calls
    """
    fleet = Fleet(processes, seed, settings)
    answered: list[float] = []
    failed: list[object] = []

    def record_answer(_: object) -> None:
        answered.append((fleet.reactor.seconds() - START_S) * 1000)

    for number, platform in enumerate(fleet.platforms):
        call: defer.Deferred[typing.Any]
        if is_write:
            call = platform.write_row("t", str(number), b"", 0, None)
        else:
            call = platform.read_row("t", "k")
        call.addCallbacks(record_answer, failed.append)
    fleet.run_for(RUSH_S, lambda: len(answered) + len(failed) == processes)
    return Rush(
        len(answered), len(failed), fleet.refused, max(answered, default=0.0)
    )


def outage(processes: int, seed: int = 1) -> Recovery:
    """Simulates reads at an interval during an outage of the platform.

    :param processes: number of processes
    :param seed: of the random number generators
    :return: load on the platform, and how soon all had a response
    """
    fleet = Fleet(processes, seed)
    first_answer_s: dict[int, float] = {}
    restored_s = START_S + OUTAGE_S

    def poll(number: int) -> None:
        fleet.reactor.callLater(POLL_S, poll, number)
        call = fleet.platforms[number].read_row("t", "k")
        call.addCallbacks(lambda _: record_answer(number), _ignore_failure)

    def record_answer(number: int) -> None:
        first_answer_s.setdefault(number, fleet.reactor.seconds() - restored_s)

    fleet.injector.set(faults.Faults(outage=faults.Outage.REFUSE))
    for number in range(processes):
        fleet.reactor.callLater(fleet.random.uniform(0, POLL_S), poll, number)
    fleet.run_for(OUTAGE_S)
    fleet.injector.set(faults.Faults())
    fleet.run_for(RECOVERY_S)
    by_second = fleet.injector.by_second
    # Without the first 10 s of the outage, in which the breakers open.
    outage_counts = [
        by_second[int(START_S) + s] for s in range(10, int(OUTAGE_S))
    ]
    later_counts = [
        count for second, count in by_second.items() if second >= restored_s
    ]
    answers = sorted(first_answer_s.values())
    assert len(answers) == processes, "some process never got a response"
    return Recovery(
        calls_per_s=sum(outage_counts) / len(outage_counts),
        most_per_s=max(later_counts),
        first_half_ms=answers[len(answers) // 2] * 1000,
        last_ms=answers[-1] * 1000,
    )


def _ignore_failure(failure: object) -> None:
    return None


def main(sizes: typing.Sequence[int]) -> None:
    """Prints the results of both experiments for several fleet sizes.

    :param sizes: numbers of processes
    """
    logging.getLogger(events.LOGGER_NAME).setLevel(logging.ERROR)
    for size in sizes:
        print(size, "reads ", rush(size, False))
        print(size, "writes", rush(size, True))
        print(size, "outage", outage(size))


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or SIZES)
