"""Checks that no higher tier is shed while a lower one is served.

docs/OVERLOAD.md defines the promise: when a request is shed, no upstream
that could run it in time starts or runs a request of a lower tier, unless
that request can't be stopped. An upstream that can suspend runs must not
continue lower-tier work; any other may finish what it started before the
request arrived.
"""

import collections
import typing

from godwitloft import trace
from godwitloft.audit import history

SHED_REASONS = frozenset(
    ("shed", "queue_full", "queue_requests", "queue_bytes", "deadline_passed")
)
MARGIN_MS = 100


def no_higher_tier_shed(
    traces: history.History,
) -> tuple[int, list[str]]:
    """Checks every shed request against the runs active at that time.

    :param traces: the merged traces
    :return: number of shed requests, breaches
    """
    runs_by_pool = _runs_by_pool(traces)
    breaches = []
    checked = 0
    for request in traces.requests.values():
        for refused in request.of_kind(trace.Kind.REFUSED):
            if refused.fields.get("reason") not in SHED_REASONS:
                continue
            checked += 1
            for run in _lower_tier_runs(
                traces, request, refused, runs_by_pool
            ):
                breaches.append(
                    f"{request.request_id} of rank {_rank(request)} was"
                    f" refused ({refused.fields['reason']}) at"
                    f" {refused.wall_ms} while {run.process.instance} ran"
                    f" {run.run_id}"
                )
    return checked, breaches


def _runs_by_pool(
    traces: history.History,
) -> dict[str, list[history.Run]]:
    runs_by_pool = collections.defaultdict(list)
    for request in traces.requests.values():
        for pool in _pools(request):
            runs_by_pool[pool].extend(request.runs)
    return runs_by_pool


def _pools(request: history.Request) -> list[str]:
    return list(request.accepted.fields.get("pools") or [""])


def _rank(request: history.Request) -> int:
    return int(request.accepted.fields.get("tier_rank") or 0)


def _lower_tier_runs(
    traces: history.History,
    request: history.Request,
    refused: trace.Record,
    runs_by_pool: typing.Mapping[str, list[history.Run]],
) -> typing.Iterator[history.Run]:
    too_late_agents = {
        record.fields.get("agent") or record.instance
        for record in request.of_kind(trace.Kind.SKIPPED)
        if record.fields.get("reason") == "too_late"
    }
    seen: set[history.Run] = set()
    for pool in _pools(request):
        for run in runs_by_pool.get(pool, ()):
            lower = traces.requests[history.base_id(run.run_id)]
            if run in seen or run.process.instance in too_late_agents:
                continue
            if _rank(lower) <= _rank(request):
                continue
            if _violates_tier_order(run, request, refused):
                seen.add(run)
                yield run


def _violates_tier_order(
    run: history.Run, request: history.Request, refused: trace.Record
) -> bool:
    """Returns whether a lower-tier run broke the promise.

    The margin covers messages in transit and clock differences.
    """
    shed_ms = refused.wall_ms
    was_active = run.active_at(shed_ms - MARGIN_MS)
    if not (was_active and run.active_at(shed_ms + MARGIN_MS)):
        return False
    if _is_resumable(run):
        return True
    grace_end_ms = request.accepted.wall_ms + MARGIN_MS
    return run.started.wall_ms > grace_end_ms


def _is_resumable(run: history.Run) -> bool:
    first = run.process.records[0]
    run_resumable = run.started.fields.get("resumable")
    return bool(
        first.fields.get("resumable")
        if run_resumable is None
        else run_resumable
    )
