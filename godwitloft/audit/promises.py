"""The checks of all promises except the one on shedding.

Each check takes the merged traces and returns the number of cases checked
and a description of each breach.
"""

import collections
import typing

from godwitloft import trace
from godwitloft.audit import history

CheckResult = tuple[int, list[str]]
Check = typing.Callable[[history.History], CheckResult]

LEAVING_GRACE_MS = 2_000
OUTCOME_GRACE_MS = 5_000
SPREAD_LIMIT_MS = 8_000
CLOCK_MARGIN_MS = 100


def trace_complete(traces: history.History) -> CheckResult:
    """Checks that no line is missing; the other checks depend on it.

    :param traces: the merged traces
    :return: number of lines read, breaches
    """
    breaches = [f"unreadable: {reason}" for reason in traces.unreadable]
    for process in traces.processes.values():
        expected = 1
        for record in process.records:
            if record.sequence != expected:
                breaches.append(
                    f"{process.incarnation}: line {expected} is missing or"
                    f" doubled, found {record.sequence}"
                )
            expected = record.sequence + 1
    breaches.extend(
        f"{record.kind.value} of {history.request_id_of(record)}, which no"
        " entry accepted"
        for record in traces.strays
    )
    return traces.lines, breaches


def one_outcome(traces: history.History) -> CheckResult:
    """Checks that each caller was sent exactly one outcome.

    No outcome is expected of an entry that was killed, nor of one whose
    trace ends before the request's timeout and grace period are over.

    :param traces: the merged traces
    :return: number of requests, breaches
    """
    breaches = []
    for request in traces.requests.values():
        outcome_records = request.outcome_records()
        if len(outcome_records) > 1:
            outcomes = [
                record.fields.get("outcome") for record in outcome_records
            ]
            breaches.append(f"{request.request_id} was told {outcomes}")
        if not outcome_records and _outcome_overdue(request):
            breaches.append(f"{request.request_id} was told nothing")
    return len(traces.requests), breaches


def _outcome_overdue(request: history.Request) -> bool:
    accepted = request.accepted
    timeout_ms = int(accepted.fields.get("timeout_ms") or 0)
    last = request.process.records[-1]
    if last.kind is trace.Kind.PROCESS_STOPPED:
        return True
    due_ms = accepted.monotonic_ms + timeout_ms + OUTCOME_GRACE_MS
    return last.monotonic_ms > due_ms


def dispatched_once(traces: history.History) -> CheckResult:
    """Checks that no request was given to an upstream twice.

    Idempotent calls of plain services may be retried, each as a new run.

    :param traces: the merged traces
    :return: number of dispatched requests, breaches
    """
    in_ledger = collections.Counter(
        history.base_id(entry.run_id) for entry in traces.ledger
    )
    breaches: list[str] = []
    checked = 0
    for request in traces.requests.values():
        dispatched = request.of_kind(trace.Kind.DISPATCHED)
        checked += bool(dispatched)
        breaches.extend(_repeated_runs(request, dispatched))
        if request.repeatable:
            continue
        if len(request.runs) > 1:
            where = [run.process.instance for run in request.runs]
            breaches.append(f"{request.request_id} was started at {where}")
        run_count = in_ledger[request.request_id]
        if run_count > 1:
            breaches.append(
                f"{request.request_id} reached upstreams {run_count} times"
            )
    return checked, breaches


def _repeated_runs(
    request: history.Request, dispatched: list[trace.Record]
) -> typing.Iterator[str]:
    for verb, run_ids in (
        ("dispatched", [history.run_id_of(record) for record in dispatched]),
        ("started", [run.run_id for run in request.runs]),
    ):
        for run_id, count in collections.Counter(run_ids).items():
            if count > 1:
                yield f"run {run_id} was {verb} {count} times"


def complete_answer(traces: history.History) -> CheckResult:
    """Checks that each completed answer is complete and not mixed up.

    :param traces: the merged traces
    :return: number of completed requests, breaches
    """
    breaches: list[str] = []
    checked = 0
    for request in traces.requests.values():
        for outcome_record in request.outcome_records():
            if outcome_record.fields.get("outcome") == "completed":
                checked += 1
                breaches.extend(_wrong_answer(request, outcome_record))
    return checked, breaches


def _wrong_answer(
    request: history.Request, outcome_record: trace.Record
) -> typing.Iterator[str]:
    if "digest" not in outcome_record.fields:
        return
    ends = [run.ended for run in request.runs if run.ended is not None]
    if not ends:
        # The agent's trace is missing, or the agent died before the end.
        return
    expected = {
        (end.fields.get("digest"), end.fields.get("count")) for end in ends
    }
    given = (
        outcome_record.fields.get("digest"),
        outcome_record.fields.get("count"),
    )
    if given not in expected:
        yield (
            f"{request.request_id} was given {given[0]} in {given[1]} parts,"
            f" its run answered {sorted(map(str, expected))}"
        )


def not_run_is_true(traces: history.History) -> CheckResult:
    """Checks that requests reported as not run did not run.

    :param traces: the merged traces
    :return: number of refused requests, breaches
    """
    in_ledger = {history.base_id(entry.run_id) for entry in traces.ledger}
    breaches = []
    checked = 0
    for request in traces.requests.values():
        if not any(
            _reported_not_run(record) for record in request.outcome_records()
        ):
            continue
        checked += 1
        where = [run.process.instance for run in request.runs]
        if where:
            breaches.append(
                f"{request.request_id} was told not run, but started at"
                f" {where}"
            )
        elif request.request_id in in_ledger:
            breaches.append(
                f"{request.request_id} was told not run, but reached an"
                " upstream"
            )
    return checked, breaches


def _reported_not_run(outcome_record: trace.Record) -> bool:
    return bool(outcome_record.fields.get("not_run")) or (
        outcome_record.fields.get("outcome") == "refused"
    )


def non_idempotent_once(traces: history.History) -> CheckResult:
    """Checks that non-idempotent calls took effect at most once.

    :param traces: the merged traces
    :return: number of non-idempotent requests, breaches
    """
    breaches = []
    requests = [
        request
        for request in traces.requests.values()
        if not request.accepted.fields.get("idempotent", True)
    ]
    for request in requests:
        if len(request.runs) > 1:
            breaches.append(
                f"{request.request_id} ran {len(request.runs)} times"
            )
    ids = {request.request_id for request in requests}
    calls = [
        entry
        for entry in traces.ledger
        if entry.is_call and history.base_id(entry.run_id) in ids
    ]
    uses: collections.Counter[str] = collections.Counter()
    for call in calls:
        uses[f"request {history.base_id(call.run_id)}"] += 1
        if call.idempotency_key:
            uses[f"key {call.idempotency_key} of {call.target}"] += 1
    breaches.extend(
        f"{use} reached a service {count} times"
        for use, count in uses.items()
        if count > 1
    )
    return len(requests), breaches


def no_work_when_leaving(traces: history.History) -> CheckResult:
    """Checks that no work starts on a leaving process or upstream.

    Work may still start within a grace period of ``LEAVING_GRACE_MS``.


    :param traces: the merged traces
    :return: number of leaving processes, breaches
    """
    breaches = []
    checked = 0
    for process in traces.processes.values():
        left_ms = min(
            process.first_ms(trace.Kind.LEAVING),
            process.first_ms(trace.Kind.UPSTREAM_LEAVING),
        )
        if left_ms == history.NEVER_MS:
            continue
        checked += 1
        refused = _refused_ids(process)
        for record in process.records:
            late = record.wall_ms > left_ms + LEAVING_GRACE_MS
            starts = record.kind is trace.Kind.STARTED or (
                record.kind is trace.Kind.ACCEPTED
                and record.request_id not in refused
            )
            if late and starts and not record.fields.get("agent"):
                breaches.append(
                    f"{process.instance} left at {left_ms}, but"
                    f" {record.kind.value} {history.run_id_of(record)} at"
                    f" {record.wall_ms}"
                )
    return checked, breaches


def _refused_ids(process: history.Process) -> set[str]:
    return {
        record.request_id
        for record in process.records
        if record.kind is trace.Kind.REFUSED
    }


def graceful_stop(traces: history.History) -> CheckResult:
    """Checks that processes finished their work before a graceful stop.

    :param traces: the merged traces
    :return: number of processes that stopped gracefully, breaches
    """
    breaches = []
    checked = 0
    runs = [run for attempts in traces.runs.values() for run in attempts]
    for process in traces.processes.values():
        last = process.records[-1]
        if last.kind is not trace.Kind.PROCESS_STOPPED:
            continue
        checked += 1
        if last.fields.get("abandoned"):
            breaches.append(
                f"{process.instance} abandoned {last.fields['abandoned']}"
            )
        breaches.extend(
            f"{process.instance} stopped while {run.run_id} ran"
            for run in runs
            if run.process is process and run.ended is None
        )
        breaches.extend(
            f"{process.instance} stopped, {request.request_id} had no outcome"
            for request in traces.requests.values()
            if request.process is process and not request.outcome_records()
        )
    return checked, breaches


def configuration(traces: history.History) -> CheckResult:
    """Checks that generations only increase and reach all processes in time.

    :param traces: the merged traces
    :return: number of generations, breaches
    """
    breaches = []
    first_ms: dict[int, int] = {}
    hashes: dict[int, str] = {}
    for process in traces.processes.values():
        newest = -1
        for record in process.records:
            if record.kind is not trace.Kind.GENERATION:
                continue
            generation = int(record.fields["generation"])
            if generation < newest:
                breaches.append(
                    f"{process.instance} went back from {newest} to"
                    f" {generation}"
                )
            newest = max(newest, generation)
            earlier_ms = first_ms.get(generation, history.NEVER_MS)
            first_ms[generation] = min(earlier_ms, record.wall_ms)
            content_hash = str(record.fields.get("snapshot_hash", ""))
            if hashes.setdefault(generation, content_hash) != content_hash:
                breaches.append(f"generation {generation} has two contents")
    for process in traces.processes.values():
        breaches.extend(_late_generations(process, first_ms))
    return len(first_ms), breaches


def _late_generations(
    process: history.Process, first_ms: typing.Mapping[int, int]
) -> typing.Iterator[str]:
    """Finds generations that a process didn't have in time.

    Only processes whose trace has generations are checked, and only
    generations that were due before the trace ends.
    """
    own_generations = [
        (record.wall_ms, int(record.fields["generation"]))
        for record in process.records
        if record.kind is trace.Kind.GENERATION
    ]
    if not own_generations:
        return
    trace_begins_ms = process.records[0].wall_ms
    for generation, since_ms in sorted(first_ms.items()):
        due_ms = (
            max(since_ms, trace_begins_ms) + SPREAD_LIMIT_MS + CLOCK_MARGIN_MS
        )
        received_ms = [
            wall_ms for wall_ms, held in own_generations if held >= generation
        ]
        in_time = bool(received_ms) and min(received_ms) <= due_ms
        if process.last_ms > due_ms and not in_time:
            yield (
                f"{process.instance} had no generation {generation} by"
                f" {due_ms}"
            )
