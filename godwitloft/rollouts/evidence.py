"""Counts how upstreams of each version have answered.

Each process counts by service, order, version, route and upstream. Counts
never decrease and are told under the name of the process's start, so that a
datagram that is lost, repeated or late does no harm, and what a process had
told counts on after its end.
"""

import bisect
import dataclasses
import functools
import heapq
import itertools
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


def changed(cell: Cell, added: Cell, taken: Cell | None = None) -> Cell:
    """Returns counts after some are added and others taken back.

    :param cell: counts
    :param added: what is added
    :param taken: what was added before and is replaced, None for nothing
    """
    taken = taken or Cell()
    sums = itertools.zip_longest(
        cell.times, added.times, taken.times, fillvalue=0
    )
    return Cell(
        cell.answers + added.answers - taken.answers,
        cell.failed + added.failed - taken.failed,
        tuple(own + more - less for own, more, less in sums),
    )


def sum_of(cells: typing.Iterable[Cell]) -> Cell:
    """Returns the sum of counts.

    :param cells: counts
    """
    return functools.reduce(changed, cells, Cell())


class Counters:
    """The counts of one process."""

    def __init__(self) -> None:
        self.cells: dict[Key, Cell] = {}
        # The weight that peers were last told of each, and in which turn.
        self.told: dict[Key, tuple[int, int]] = {}
        self.turns = 0
        # What was counted since :meth:`take_grown`.
        self.grown: set[Key] = set()

    def add_answer(self, key: Key, failed: bool) -> None:
        """Counts an answer.

        :param key: what it is counted by
        :param failed: whether it failed
        """
        cell = self.cells.get(key, Cell())
        self.cells[key] = dataclasses.replace(
            cell, answers=cell.answers + 1, failed=cell.failed + failed
        )
        self.grown.add(key)

    def add_time(self, key: Key, took_ms: float) -> None:
        """Counts how long an answer took.

        :param key: what it is counted by
        :param took_ms: the time
        """
        cell = self.cells.get(key, Cell())
        place = place_of(took_ms)
        added = Cell(times=(0,) * place + (1,))
        self.cells[key] = changed(cell, added)
        self.grown.add(key)

    def take_grown(self) -> list[tuple[Key, Cell]]:
        """Returns the counts that have grown since this was last called."""
        grown, self.grown = self.grown, set()
        return [(key, self.cells[key]) for key in grown]

    def to_tell(self, most: int) -> tuple[tuple[Key, Cell], ...]:
        """Returns the counts that peers need most.

        One half are those that have grown most in relation to what was told.
        The others are those told longest ago, as datagrams get lost.

        :param most: how many
        :return: counts, which are told from now on
        """

        def growth(key: Key) -> float:
            told, _turn = self.told.get(key, (0, 0))
            return (self.cells[key].weight - told) / (1 + told)

        grown = heapq.nlargest((most + 1) // 2, self.cells, key=growth)
        others = heapq.nsmallest(
            most - len(grown),
            self.cells.keys() - set(grown),
            key=lambda key: self.told.get(key, (0, 0))[1],
        )
        self.turns += 1
        keys = [*grown, *others]
        for key in keys:
            self.told[key] = (self.cells[key].weight, self.turns)
        return tuple((key, self.cells[key]) for key in keys)

    def forget(self, service: str) -> None:
        """Drops the counts of a service whose roll-out has ended.

        :param service: name of the service
        """
        for key in [key for key in self.cells if key.service == service]:
            del self.cells[key]
            self.told.pop(key, None)
            self.grown.discard(key)


class Evidence:
    """The counts of all processes, by process, and their sums."""

    def __init__(self) -> None:
        self.processes: dict[str, dict[Key, Cell]] = {}
        # Sums by service and order: 25 gateways with 40 upstreams on six
        # routes have 6,000 counts, too many to be added up for each look.
        self.sums: dict[tuple[str, int], dict[Key, Cell]] = {}

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
            before = known.get(key, Cell())
            if cell.weight <= before.weight:
                continue
            known[key] = cell
            sums = self.sums.setdefault((key.service, key.order_version), {})
            sums[key] = changed(sums.get(key, Cell()), cell, before)
            is_news = True
        return is_news

    def merged(
        self, service: str, order_version: int
    ) -> typing.Mapping[Key, Cell]:
        """Returns the sums of all processes' counts for a roll-out.

        :param service: name of the service
        :param order_version: version of the row of its order
        """
        return self.sums.get((service, order_version), {})

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
        for rollout in [key for key in self.sums if key[0] == service]:
            del self.sums[rollout]
