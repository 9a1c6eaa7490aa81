"""What was observed from outside the programs, for the checks."""

import bisect
import collections
import dataclasses

from bench.soak import callers
from bench.soak import deployment
from godwitloft.standins import lakeshore_rollouts

MS_PER_S = 1000
# How long a fault counts after its end, by the platform's rules.
CONTACT_MS = 4_000
# Between times taken in a caller's thread and in a runner.
CLOCK_TOLERANCE_MS = 250


@dataclasses.dataclass(frozen=True)
class Run:
    """One execution of a request at a runner.

    :param id: of the request
    :param runner: id of the runner
    :param at_ms: wall time of its start, or of the arrival if it was
        rejected
    :param ended_ms: wall time of its end, None while it runs
    :param team: team that was sent to the runner
    :param key: API key that reached the runner; None is correct
    :param hold: header that only the system may set; None is correct
    :param path: requested path
    :param born: number of the runner's life
    :param leaving: whether the answer said that the runner is leaving
    :param pause_ms: pause that it asked for when it rejected the request
    :param limit_per_s: limit that its answer named, None for none
    :param crashes_on: part of its prompt that crashes the runner, empty for
        none
    :param version: software version of the runner
    :param last_event: event after which the run was asked to go on, empty if
        it began the stream
    :param broke_off: whether the runner closed the connection too early
    :param closed_after: event after which the runner, which lived on, closed
        the connection of an answer without a length or chunks; None if its
        answer was another
    :param bad: how a defect of the runner's version showed, empty if not
    """

    id: str
    runner: str
    at_ms: int
    ended_ms: int | None = None
    team: str | None = None
    key: str | None = None
    hold: str | None = None
    path: str = ""
    born: int = 0
    leaving: bool = False
    pause_ms: int = 0
    limit_per_s: float | None = None
    crashes_on: str = ""
    version: str = ""
    last_event: str = ""
    broke_off: bool = False
    closed_after: int | None = None
    bad: str = ""


@dataclasses.dataclass
class History:
    """Everything that was observed from outside the programs.

    :param records: requests of the callers
    :param runs: executions reported by the runners
    :param rejected: arrivals at runners that were not run; only id, runner
        and time are set
    :param injected_faults: faults with the times at which they were active
    :param unexpected_exits: programs that ended without being asked to
    :param end_ms: wall time of the end of the soak test
    :param rollouts: what became of the operators' orders
    """

    records: list[callers.RequestRecord]
    runs: list[Run]
    rejected: list[Run] = dataclasses.field(default_factory=list)
    injected_faults: list[deployment.InjectedFault] = dataclasses.field(
        default_factory=list
    )
    unexpected_exits: list[str] = dataclasses.field(default_factory=list)
    end_ms: int = 0
    rollouts: list[lakeshore_rollouts.Record] = dataclasses.field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        self.runs_of: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run.id].append(run)
        self.by_id = {record.id: record for record in self.records}

    def last_run(self, request_id: str) -> Run | None:
        """Returns the run of a request that began last, None if none did.

        :param request_id: its id
        """
        runs = self.runs_of.get(request_id, [])
        return max(runs, key=lambda run: run.at_ms, default=None)

    def is_healthy(self, entry: str, start_ms: int, end_ms: int) -> bool:
        """Tells whether an entry and the store were free of faults.

        A fault that ended less than CONTACT_MS before the span counts too.

        :param entry: its name
        :param start_ms: wall time
        :param end_ms: wall time
        :return: whether no fault was active
        """
        return not any(
            injected.target in (entry, "store")
            and injected.overlaps(start_ms - CONTACT_MS, end_ms)
            for injected in self.injected_faults
        )

    def has_fault(self, target: str, start_ms: int, end_ms: int) -> bool:
        """Tells whether a target had an active fault in a span.

        :param target: prefix of its name
        :param start_ms: wall time
        :param end_ms: wall time
        :return: whether a fault overlaps the span
        """
        return any(
            injected.target.startswith(target)
            and injected.overlaps(start_ms, end_ms)
            for injected in self.injected_faults
        )


def count_between(times: list[int], start_ms: int, end_ms: int) -> int:
    """Counts times in a span.

    :param times: in ascending order
    :param start_ms: start of the span, inclusive
    :param end_ms: end of the span, exclusive
    :return: number of times in the span
    """
    first = bisect.bisect_left(times, start_ms)
    return bisect.bisect_left(times, end_ms) - first
