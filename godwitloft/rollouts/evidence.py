"""Counts how upstreams of each version have answered.

Each process counts by service, order, version, route and upstream. Counts
never decrease and are told under the name of the process's start, so that a
datagram that is lost, repeated or late does no harm, and what a process had
told counts on after its end.
"""

import bisect
import dataclasses
import typing

# Upper bounds of the times that are counted together. Neighbors differ by the
# square root of 2, so that twice the time is two places further.
FIRST_BOUND_MS = 4.0
BOUNDS = 30
BOUNDS_MS = tuple(FIRST_BOUND_MS * 2 ** (place / 2) for place in range(BOUNDS))
# Processes whose counts are kept for one roll-out; each start counts anew.
MAX_PROCESSES = 2_000


@dataclasses.dataclass(frozen=True)
class Key:
    """What the answers counted together have in common.

    :param service: name of the service
    :param order_version: version of the row of the roll-out's order
    :param version: version of the upstream's software
    :param route: name of the requests' route
    :param upstream: identity of the upstream
    """

    service: str
    order_version: int
    version: str
    route: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class Cell:
    """Answers with the same key.

    :param answers: number of answers, with the failed ones
    :param failed: how many of them failed
    :param times: how many took a time up to each of :data:`BOUNDS_MS` and
        longer than the one before; zeros at the end are left out
    """

    answers: int = 0
    failed: int = 0
    times: tuple[int, ...] = ()

    @property
    def weight(self) -> int:
        """A number that grows whenever something is counted."""
        return self.answers + sum(self.times)


@dataclasses.dataclass(frozen=True)
class KnownPhase:
    """How far a gateway knows a roll-out to have come.

    :param service: name of the service
    :param order_version: version of the row of its order
    :param phase: value of the phase that the gateway acts on
    :param has_stopped: whether it sends nothing to the new version, as it
        found the evidence against it sufficient
    :param left: its requests that run at former versions or must go there
    """

    service: str
    order_version: int
    phase: str
    has_stopped: bool = False
    left: int = 0


@dataclasses.dataclass(frozen=True)
class PeerRollouts:
    """What a gateway tells its peers of roll-outs.

    :param gateway: name of its instance; goes with the announcement anyway
    :param incarnation: name of the start of its process
    :param phases: the roll-outs that it knows
    :param cells: some of its own counts, as they are now
    """

    gateway: str
    incarnation: str
    phases: tuple[KnownPhase, ...] = ()
    cells: tuple[tuple[Key, Cell], ...] = ()


def place_of(took_ms: float) -> int:
    """Returns the place of a time in :attr:`Cell.times`.

    :param took_ms: how long an answer took
    """
    return min(BOUNDS - 1, bisect.bisect_left(BOUNDS_MS, took_ms))


def joined(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    """Returns the sums of two lists of counts.

    :param first: counts of times
    :param second: others
    """
    longer, shorter = sorted((first, second), key=len, reverse=True)
    sums = list(longer)
    for place, count in enumerate(shorter):
        sums[place] += count
    return tuple(sums)


def sum_of(cells: typing.Iterable[Cell]) -> Cell:
    """Returns the sum of counts.

    :param cells: counts
    """
    answers = failed = 0
    times: tuple[int, ...] = ()
    for cell in cells:
        answers += cell.answers
        failed += cell.failed
        times = joined(times, cell.times)
    return Cell(answers, failed, times)


class Counters:
    """The counts of one process."""

    def __init__(self) -> None:
        self.cells: dict[Key, Cell] = {}
        # What peers were last told of each.
        self.told: dict[Key, int] = {}

    def add_answer(self, key: Key, failed: bool) -> None:
        """Counts an answer.

        :param key: what it is counted by
        :param failed: whether it failed
        """
        cell = self.cells.get(key, Cell())
        self.cells[key] = dataclasses.replace(
            cell, answers=cell.answers + 1, failed=cell.failed + failed
        )

    def add_time(self, key: Key, took_ms: float) -> None:
        """Counts how long an answer took.

        :param key: what it is counted by
        :param took_ms: the time
        """
        cell = self.cells.get(key, Cell())
        place = place_of(took_ms)
        added = (0,) * place + (1,)
        self.cells[key] = dataclasses.replace(
            cell, times=joined(cell.times, added)
        )

    def to_tell(self, most: int) -> tuple[tuple[Key, Cell], ...]:
        """Returns the counts that peers need most.

        Those that have grown most since they were told go first, in relation
        to what was told. Each is told at times even if unchanged, as datagrams
        get lost.

        :param most: how many
        :return: counts, which are told from now on
        """

        def news(key: Key) -> float:
            told = self.told.get(key, 0)
            return (self.cells[key].weight - told) / (1 + told)

        keys = sorted(self.cells, key=news, reverse=True)[:most]
        for key in keys:
            self.told[key] = self.cells[key].weight
        if keys and len(keys) < len(self.cells):
            # The last one's turn is taken by the one told longest ago.
            oldest = next(key for key in self.cells if key not in keys)
            self.cells[oldest] = self.cells.pop(oldest)
            keys[-1] = oldest
            self.told[oldest] = self.cells[oldest].weight
        return tuple((key, self.cells[key]) for key in keys)

    def forget(self, service: str) -> None:
        """Drops the counts of a service whose roll-out has ended.

        :param service: name of the service
        """
        for key in [key for key in self.cells if key.service == service]:
            del self.cells[key]
            self.told.pop(key, None)


class Evidence:
    """The counts of all processes, by process."""

    def __init__(self) -> None:
        self.processes: dict[str, dict[Key, Cell]] = {}

    def learn(
        self, incarnation: str, cells: typing.Iterable[tuple[Key, Cell]]
    ) -> bool:
        """Takes over what a process tells, unless more is known.

        :param incarnation: name of the process's start
        :param cells: its counts
        :return: whether any of them is news
        """
        known = self.processes.get(incarnation)
        if known is None:
            if len(self.processes) >= MAX_PROCESSES:
                return False
            known = self.processes[incarnation] = {}
        is_news = False
        for key, cell in cells:
            if cell.weight > known.get(key, Cell()).weight:
                known[key] = cell
                is_news = True
        return is_news

    def merged(self, service: str, order_version: int) -> dict[Key, Cell]:
        """Returns the sums of all processes' counts for a roll-out.

        :param service: name of the service
        :param order_version: version of the row of its order
        """
        found: dict[Key, list[Cell]] = {}
        for cells in self.processes.values():
            for key, cell in cells.items():
                if (key.service, key.order_version) == (
                    service,
                    order_version,
                ):
                    found.setdefault(key, []).append(cell)
        return {key: sum_of(cells) for key, cells in found.items()}

    def forget(self, service: str) -> None:
        """Drops the counts of a service whose roll-out has ended.

        :param service: name of the service
        """
        for name, cells in list(self.processes.items()):
            left = {
                key: cell
                for key, cell in cells.items()
                if key.service != service
            }
            if left:
                self.processes[name] = left
            else:
                del self.processes[name]
