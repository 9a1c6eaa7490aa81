"""Groups trace lines by process, request and run."""

import bisect
import dataclasses
import typing

from godwitloft import decode
from godwitloft import trace

NEVER_MS = 1 << 62
NEVER_STARTED = "never_started"


@dataclasses.dataclass(eq=False)
class Process:
    """One start of one process.

    :param instance: name of the instance
    :param incarnation: id of this start
    :param records: its trace lines by sequence number
    """

    instance: str
    incarnation: str
    records: list[trace.Record] = dataclasses.field(default_factory=list)

    def first_ms(self, kind: trace.Kind) -> int:
        """Returns when the first line of a kind was written.

        :param kind: kind of the line
        :return: wall time in milliseconds, or :data:`NEVER_MS`
        """
        times_ms = (
            record.wall_ms for record in self.records if record.kind is kind
        )
        return next(times_ms, NEVER_MS)

    @property
    def last_ms(self) -> int:
        """The wall time of its last line in milliseconds."""
        return self.records[-1].wall_ms


@dataclasses.dataclass(eq=False)
class Run:
    """One attempt to run a request, as traced by its agent.

    :param run_id: id of the attempt
    :param process: the agent
    :param started: line that reports its start
    :param ended: line that reports its end, None when there is none
    :param pauses: lines that report suspensions and resumptions
    """

    run_id: str
    process: Process
    started: trace.Record
    ended: trace.Record | None = None
    pauses: list[trace.Record] = dataclasses.field(default_factory=list)

    @property
    def ended_ms(self) -> int:
        """The wall time of its end, or :data:`NEVER_MS`."""
        return self.ended.wall_ms if self.ended else NEVER_MS

    def active_at(self, wall_ms: int) -> bool:
        """Returns whether it was running and not suspended at a time.

        :param wall_ms: wall time in milliseconds
        :return: whether it used its upstream then
        """
        if not self.started.wall_ms <= wall_ms < self.ended_ms:
            return False
        pause_times_ms = [pause.wall_ms for pause in self.pauses]
        index = bisect.bisect_right(pause_times_ms, wall_ms)
        if not index:
            return True
        return self.pauses[index - 1].kind is trace.Kind.RESUMED


@dataclasses.dataclass(eq=False)
class Request:
    """A request, as traced by its entry and the agents.

    :param request_id: its id
    :param accepted: line that reports its acceptance
    :param process: the process of its entry
    :param records: its other lines, of all processes, by wall time
    :param runs: its runs
    """

    request_id: str
    accepted: trace.Record
    process: Process
    records: list[trace.Record] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)

    def of_kind(self, kind: trace.Kind) -> list[trace.Record]:
        """Returns the request's lines of one kind.

        :param kind: the kind
        :return: the lines by wall time
        """
        return [record for record in self.records if record.kind is kind]

    def outcome_records(self) -> list[trace.Record]:
        """Returns the lines that report the outcome sent to the caller.

        :return: lines of its entry, exactly one if nothing went wrong
        """
        return self.of_kind(trace.Kind.TOLD)

    @property
    def repeatable(self) -> bool:
        """Whether it may run again: an idempotent call of a plain service."""
        fields = self.accepted.fields
        return bool(fields.get("idempotent")) and not fields.get("is_model")


@dataclasses.dataclass(frozen=True)
class LedgerEntry:
    """One run or call that reached a stand-in upstream.

    :param run_id: id sent by the agent
    :param idempotency_key: key of a call, or empty
    :param target: method and path of a call; one key may be used on several
    :param is_call: whether it is a call of a plain service
    :param took_effect: whether a call changed anything
    """

    run_id: str
    idempotency_key: str = ""
    target: str = ""
    is_call: bool = False
    took_effect: bool = True


@dataclasses.dataclass(frozen=True)
class History:
    """The merged contents of traces and ledgers.

    :param lines: number of trace lines read
    :param unreadable: parse errors of lines that are not trace lines
    :param processes: processes by incarnation
    :param requests: requests by id
    :param runs: runs by run id; several if one was started several times
    :param strays: lines about requests that no entry accepted
    :param ledger: runs and calls that reached the upstreams
    """

    lines: int
    unreadable: tuple[str, ...]
    processes: typing.Mapping[str, Process]
    requests: typing.Mapping[str, Request]
    runs: typing.Mapping[str, list[Run]]
    strays: tuple[trace.Record, ...]
    ledger: tuple[LedgerEntry, ...]


def build(
    lines: typing.Iterable[str], ledger_lines: typing.Iterable[str]
) -> History:
    """Reads and merges traces and ledgers.

    :param lines: trace lines in any order
    :param ledger_lines: lines of ledgers
    :return: the merged history
    """
    records, unreadable = _read(lines)
    processes = _processes(records)
    requests = {
        record.request_id: Request(
            record.request_id, record, processes[record.incarnation]
        )
        for record in records
        if record.kind is trace.Kind.ACCEPTED
    }
    strays = []
    for record in sorted(
        records, key=lambda record: (record.wall_ms, record.sequence)
    ):
        request_id = request_id_of(record)
        if not request_id or record.kind is trace.Kind.ACCEPTED:
            continue
        if request_id in requests:
            requests[request_id].records.append(record)
        else:
            strays.append(record)
    runs = _runs(records, processes, requests)
    for run_id, attempts in runs.items():
        request = requests.get(base_id(run_id))
        if request is not None:
            request.runs.extend(attempts)
    return History(
        lines=len(records),
        unreadable=tuple(unreadable),
        processes=processes,
        requests=requests,
        runs=runs,
        strays=tuple(strays),
        ledger=tuple(ledger_entries(ledger_lines)),
    )


def base_id(run_id: str) -> str:
    """Returns the id of the request that a run belongs to.

    :param run_id: id of a run
    :return: the part before the attempt's number
    """
    return run_id.partition(".")[0]


def request_id_of(record: trace.Record) -> str:
    """Returns the id of the request that a line is about.

    :param record: a trace line
    :return: id of the request, or empty
    """
    run_id = record.fields.get("run_id") or ""
    return base_id(record.request_id or str(run_id))


def run_id_of(record: trace.Record) -> str:
    """Returns the id of the run that a line is about.

    :param record: a line about a run
    :return: id of the run
    """
    return str(record.fields.get("run_id") or record.request_id)


def _read(
    lines: typing.Iterable[str],
) -> tuple[list[trace.Record], list[str]]:
    records = []
    unreadable = []
    for line in lines:
        if not line.strip():
            continue
        if '"kind"' not in line and line.lstrip().startswith("{"):
            # Log lines may be written to the same stream.
            continue
        try:
            records.append(trace.parse(line))
        except trace.TraceError as error:
            unreadable.append(str(error))
    records.sort(key=lambda record: (record.incarnation, record.sequence))
    return records, unreadable


def _processes(
    records: typing.Iterable[trace.Record],
) -> dict[str, Process]:
    processes: dict[str, Process] = {}
    for record in records:
        process = processes.setdefault(
            record.incarnation, Process(record.instance, record.incarnation)
        )
        process.records.append(record)
    return processes


def _runs(
    records: typing.Iterable[trace.Record],
    processes: typing.Mapping[str, Process],
    requests: typing.Mapping[str, Request],
) -> dict[str, list[Run]]:
    """Collects the runs from the agents' lines.

    The entry of a request also writes lines about its runs, but only what
    agents reported to it, so they are skipped.
    """
    runs: dict[str, list[Run]] = {}
    last_runs: dict[tuple[str, str], Run] = {}
    for record in records:
        request = requests.get(request_id_of(record))
        if request is not None and record.incarnation == (
            request.process.incarnation
        ):
            continue
        run_id = run_id_of(record)
        key = (record.incarnation, run_id)
        if record.kind is trace.Kind.STARTED:
            run = Run(run_id, processes[record.incarnation], record)
            last_runs[key] = run
            runs.setdefault(run_id, []).append(run)
        elif key not in last_runs:
            continue
        elif record.kind is trace.Kind.ENDED:
            run = last_runs[key]
            run.ended = record
            if record.fields.get("outcome") == NEVER_STARTED:
                # The upstream was unreachable, so nothing ran.
                runs[run_id].remove(run)
        elif record.kind in (trace.Kind.SUSPENDED, trace.Kind.RESUMED):
            last_runs[key].pauses.append(record)
    return runs


def ledger_entries(
    lines: typing.Iterable[str],
) -> typing.Iterator[LedgerEntry]:
    """Yields the entries in the lines of a ledger.

    :param lines: JSON objects; other lines are skipped
    :return: the entries, in order
    """
    for line in lines:
        try:
            value = decode.load_json(line)
        except ValueError:
            continue
        if isinstance(value, dict):
            yield from _entries(value)


def _entries(
    value: dict[str, typing.Any],
) -> typing.Iterator[LedgerEntry]:
    """Reads a ledger entry, or an object that contains entries."""
    for name in ("run", "call"):
        if isinstance(value.get(name), dict):
            yield from _entries(value[name])
    for name in ("runs", "calls"):
        if isinstance(value.get(name), list):
            for entry in value[name]:
                yield from _entries(entry)
    if "run_id" in value:
        yield LedgerEntry(str(value["run_id"]))
    if "request_id" in value and "took_effect" in value:
        yield LedgerEntry(
            run_id=str(value["request_id"]),
            idempotency_key=str(value.get("idempotency_key", "")),
            target=f"{value.get('method')} {value.get('path')}",
            is_call=True,
            took_effect=bool(value["took_effect"]),
        )
