"""Checks what runners were promised: not to be asked too late or too often."""

import bisect
import collections

from bench.soak import deployment
from bench.soak import history as histories

# Of the platform's rules.
DRAIN_MS = 3_000
# A runner reports a state change only in its next heartbeat row.
HEARTBEAT_MS = 400
# The users' rule on named limits.
LIMIT_WINDOW_MS = 4_000
TOLERATED_LIMIT_FACTOR = 1.5
TOLERATED_LIMIT_EXTRA = 5
# An entry counts as told of a limit this long after an answer named it.
LIMIT_TOLD_MS = 500
# Requests that were under way when a runner asked for a pause.
PAUSE_SLACK_MS = 500
MAX_ARRIVALS_IN_PAUSE = 2
# The users' rule on parts of prompts that crash runners.
CRASHES_BEFORE_BOUND = 5
MAX_LATE_CRASHES = 3


def find_late_arrivals(history: histories.History) -> list[str]:
    """Finds requests that reached a runner too long after it was drained."""
    found = []
    for run in history.runs + history.rejected:
        record = history.by_id.get(run.id)
        if record is None:
            continue
        for injected in history.injected_faults:
            if injected.target != run.runner or injected.kind not in (
                "drain",
                "gone",
            ):
                continue
            is_late = (
                injected.start_ms + DRAIN_MS + HEARTBEAT_MS
                < run.at_ms
                < (injected.end_ms or history.end_ms)
            )
            if is_late and history.is_healthy(
                record.entry, injected.start_ms, run.at_ms
            ):
                found.append(
                    f"{run.id} reached {run.runner} after {injected.kind}"
                )
    return found


def find_arrivals_after_leaving(history: histories.History) -> list[str]:
    """Finds requests to a runner that had told their entry that it leaves."""
    told_ms: dict[tuple[str, str, int], int] = {}
    for run in history.runs:
        record = history.by_id.get(run.id)
        if record is None or not run.leaving or run.ended_ms is None:
            continue
        if record.status == 200 and record.is_complete:
            life = (record.entry, run.runner, run.born)
            told_ms[life] = min(run.ended_ms, told_ms.get(life, run.ended_ms))
    found = []
    for arrival in history.runs + history.rejected:
        record = history.by_id.get(arrival.id)
        if record is None:
            continue
        at_ms = told_ms.get((record.entry, arrival.runner, arrival.born))
        if (
            at_ms is not None
            and record.sent_ms > at_ms + DRAIN_MS
            and not history.has_fault(record.entry, at_ms, arrival.at_ms)
        ):
            found.append(
                f"{arrival.id} reached {arrival.runner}, which had said that"
                " it is leaving"
            )
    return found


def find_ignored_pauses(history: histories.History) -> list[str]:
    """Finds pauses that a runner asked for and an entry did not keep."""
    arrivals: dict[tuple[str, str, int], list[int]] = collections.defaultdict(
        list
    )
    everything = sorted(
        history.runs + history.rejected, key=lambda run: run.at_ms
    )
    for arrival in everything:
        record = history.by_id.get(arrival.id)
        if record is not None:
            life = (record.entry, arrival.runner, arrival.born)
            arrivals[life].append(arrival.at_ms)
    found = []
    for asked in history.rejected:
        record = history.by_id.get(asked.id)
        if record is None or not asked.pause_ms:
            continue
        start_ms = asked.at_ms + PAUSE_SLACK_MS
        end_ms = asked.at_ms + asked.pause_ms
        if history.has_fault(record.entry, asked.at_ms, end_ms):
            continue
        if has_connection_fault(history, asked.runner, asked.at_ms, end_ms):
            continue
        life = (record.entry, asked.runner, asked.born)
        count = histories.count_between(arrivals[life], start_ms, end_ms)
        if count > MAX_ARRIVALS_IN_PAUSE:
            found.append(
                f"{count} requests of {record.entry} reached {asked.runner}"
                f" within the {asked.pause_ms} ms that it asked for"
            )
    return found


def find_exceeded_limits(history: histories.History) -> list[str]:
    """Finds limits that a runner named and the entries did not keep."""
    found = []
    for (runner, _born, per_s), arrivals in limited_arrivals(history).items():
        tolerated = (
            TOLERATED_LIMIT_FACTOR
            * per_s
            * LIMIT_WINDOW_MS
            / histories.MS_PER_S
            + TOLERATED_LIMIT_EXTRA
        )
        for index, at_ms in enumerate(arrivals):
            since = bisect.bisect_left(arrivals, at_ms - LIMIT_WINDOW_MS)
            if index + 1 - since > tolerated:
                found.append(
                    f"{runner} got {index + 1 - since} requests in"
                    f" {LIMIT_WINDOW_MS} ms, having named {per_s:g} a second"
                )
                break
    return found


def limited_arrivals(
    history: histories.History,
) -> dict[tuple[str, int, float], list[int]]:
    """Returns the arrivals that count against limits.

    :param history: with runs and rejected arrivals
    :return: wall times in order, by runner, its life and the limit; from
        :data:`bench.soak.history.CONTACT_MS` after it was named, of entries
        that had been told for a while, and told again after a fault
    """
    named_ms: dict[tuple[str, int, float], int] = {}
    told_ms: dict[tuple[str, str, int], int] = {}
    found = collections.defaultdict(list)
    everything = sorted(
        history.runs + history.rejected, key=lambda run: run.at_ms
    )
    for arrival in everything:
        record = history.by_id.get(arrival.id)
        if record is None or arrival.limit_per_s is None:
            continue
        named = (arrival.runner, arrival.born, arrival.limit_per_s)
        since_ms = named_ms.setdefault(named, arrival.at_ms)
        teller = (record.entry, arrival.runner, arrival.born)
        known_ms = told_ms.setdefault(teller, arrival.at_ms)
        if history.has_fault(
            record.entry, known_ms, arrival.at_ms
        ) or has_connection_fault(
            history, arrival.runner, known_ms, arrival.at_ms
        ):
            told_ms[teller] = arrival.at_ms
        elif (
            arrival.at_ms - since_ms >= histories.CONTACT_MS
            and arrival.at_ms - known_ms >= LIMIT_TOLD_MS
        ):
            found[named].append(arrival.at_ms)
    return found


def has_connection_fault(
    history: histories.History, runner: str, start_ms: int, end_ms: int
) -> bool:
    """Tells whether the relay before a runner held bytes back in a span.

    :param history: with the injected faults
    :param runner: its id
    :param start_ms: wall time
    :param end_ms: wall time
    :return: whether an answer or a request may have been late
    """
    return any(
        injected.target == runner
        and injected.kind in deployment.RELAY_MODES
        and injected.overlaps(start_ms, end_ms)
        for injected in history.injected_faults
    )


def find_excess_crashes(history: histories.History) -> list[str]:
    """Finds parts of prompts that go on to crash runners."""
    runs_by_part: dict[str, list[histories.Run]] = collections.defaultdict(
        list
    )
    for run in sorted(history.runs, key=lambda run: run.at_ms):
        if run.crashes_on:
            runs_by_part[run.crashes_on].append(run)
    found = []
    for part, runs in runs_by_part.items():
        first_of_life: dict[tuple[str, int], int] = {}
        for run in runs:
            first_of_life.setdefault((run.runner, run.born), run.at_ms)
        crashes_ms = sorted(first_of_life.values())
        if len(crashes_ms) < CRASHES_BEFORE_BOUND:
            continue
        bound_ms = crashes_ms[CRASHES_BEFORE_BOUND - 1] + histories.CONTACT_MS
        late = [
            run.id
            for run in runs
            if run.at_ms > bound_ms and was_sent_freely(history, run)
        ]
        if len(late) > MAX_LATE_CRASHES:
            found.append(f"{part} reached runners {len(late)} times: {late}")
    return found


def was_sent_freely(history: histories.History, run: histories.Run) -> bool:
    """Tells whether the entry that sent a run had no fault of its own then.

    Faults of the store don't matter: entries tell each other of crashes.
    """
    record = history.by_id.get(run.id)
    return record is not None and not history.has_fault(
        record.entry, run.at_ms - histories.CONTACT_MS, run.at_ms
    )
