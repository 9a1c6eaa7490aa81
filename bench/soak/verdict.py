"""Checks the promises against what callers and runners observed."""

import bisect
import collections
import dataclasses
import typing

from bench.soak import callers
from bench.soak import deployment
from bench.soak import joined_streams
from bench.soak import site
from godwitloft.standins import lakeshore_words as words

NOT_RUN_STATUSES = (408, 421, 429, 503)
MS_PER_S = 1000
# Time bounds of the platform's rules.
CONTACT_MS = 4_000
CONFIG_APPLY_MS = 3_000
DRAIN_MS = 3_000
ANSWER_SLACK_MS = 500
LOSS_SLACK_MS = 200
CANCEL_MS = 500
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
RECOVERY_MS = 8_000
RECOVERED_SHARE = 0.25
RAN_ON_SHARE = 0.25
MIN_RAN_ON = 4
MIN_LATE_ANSWERS = 8
# A runner reports a state change only in its next heartbeat row.
HEARTBEAT_MS = 400
# Tolerance between times taken in a caller's thread and in a runner.
CLOCK_TOLERANCE_MS = 250
UNSAFE_ROUTES = ("post", "once")


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
    """

    records: list[callers.RequestRecord]
    runs: list[Run]
    rejected: list[Run] = dataclasses.field(default_factory=list)
    injected_faults: list[deployment.InjectedFault] = dataclasses.field(
        default_factory=list
    )
    unexpected_exits: list[str] = dataclasses.field(default_factory=list)
    end_ms: int = 0

    def __post_init__(self) -> None:
        self.runs_of: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run.id].append(run)
        self.by_id = {record.id: record for record in self.records}

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


Check = typing.Callable[[History], list[str]]


def find_repeated_runs(history: History) -> list[str]:
    """Finds requests that must run at most once and ran more often."""
    return [
        f"{record.id} ran {len(history.runs_of[record.id])} times"
        for record in history.records
        if record.route in UNSAFE_ROUTES
        and len(history.runs_of[record.id]) > 1
    ]


def find_runs_after_refusal(history: History) -> list[str]:
    """Finds requests that ran although the response promised "not run"."""
    return [
        f"{record.id} got {record.status} and ran"
        for record in history.records
        if record.route in UNSAFE_ROUTES
        and record.status in NOT_RUN_STATUSES
        and history.runs_of[record.id]
    ]


def find_wrong_answers(history: History) -> list[str]:
    """Finds responses with a wrong or incomplete body."""
    found = []
    for record in history.records:
        if record.status != 200:
            continue
        expected = record.expected()
        is_right = (
            record.body == expected
            if record.is_complete
            else expected.startswith(record.body)
        )
        if not is_right:
            found.append(f"{record.id} got {record.body[-60:]!r}")
    return found


def find_unrequested_runs(history: History) -> list[str]:
    """Finds runs that do not match a request of a caller."""
    found = []
    for run in history.runs:
        record = history.by_id.get(run.id)
        if record is None:
            found.append(f"{run.id} was not sent by any caller")
        elif run.team != site.KEYS.get(record.key):
            found.append(f"{run.id} of {record.key} ran for {run.team}")
        elif run.key is not None or run.hold is not None:
            found.append(f"{run.id} carried a header reserved for the system")
        elif run.path != f"/{record.route}/x":
            found.append(f"{run.id} asked for {run.path}")
    return found


def find_wrong_denials(history: History) -> list[str]:
    """Finds valid requests that got 401, 403 or 404."""
    always = ("key-large", "key-small")
    return [
        f"{record.id} got {record.status}"
        for record in history.records
        if record.status in (401, 403, 404)
        and record.key in always
        and record.route != site.EXTRA_ROUTE
    ]


def find_runs_after_withdrawal(history: History) -> list[str]:
    """Finds runs with keys or routes that had been withdrawn."""
    found = []
    for run in history.runs:
        record = history.by_id.get(run.id)
        if record is None:
            continue
        if record.key not in site.KEYS:
            found.append(f"{run.id} ran with an unknown key")
        if record.key == site.GUEST_KEY and was_withdrawn(
            history, "withdraw_key", record.sent_ms, site.REVOKE_MS
        ):
            found.append(f"{run.id} ran with a withdrawn key")
        if (
            record.route == site.EXTRA_ROUTE
            and was_withdrawn(
                history, "withdraw_route", record.sent_ms, CONFIG_APPLY_MS
            )
            and history.is_healthy(record.entry, record.sent_ms, run.at_ms)
        ):
            found.append(f"{run.id} ran on a withdrawn route")
    return found


def was_withdrawn(
    history: History, kind: str, sent_ms: int, after_ms: int
) -> bool:
    """Tells whether a key or route had been withdrawn for long enough.

    :param history: with the injected faults
    :param kind: of the fault
    :param sent_ms: when a request was sent
    :param after_ms: how long requests may still be served after a withdrawal
    :return: whether the request must not be served
    """
    spans = [
        (injected.start_ms, injected.end_ms or history.end_ms)
        for injected in history.injected_faults
        if injected.kind == kind
    ]
    return any(
        start + after_ms < sent_ms < end for start, end in spans
    ) and not any(
        # A series of faults restores it in between; some entries apply that
        # later than others.
        end - 1 <= sent_ms <= end + after_ms
        for _start, end in spans
    )


def find_late_arrivals(history: History) -> list[str]:
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


def find_excess_retries(history: History) -> list[str]:
    """Finds windows with more retries than the retry budget allows."""
    window_ms = site.RETRY_WINDOW_S * MS_PER_S
    seen: set[str] = set()
    repeats: dict[str, list[int]] = collections.defaultdict(list)
    arrivals = sorted(
        history.runs + history.rejected, key=lambda run: run.at_ms
    )
    for run in arrivals:
        if run.id in seen:
            repeats[service_name(run.runner)].append(run.at_ms)
        seen.add(run.id)
    sent: dict[str, list[int]] = collections.defaultdict(list)
    for record in sorted(history.records, key=lambda item: item.sent_ms):
        service = "model" if record.events else "desk"
        sent[service].append(record.sent_ms)
    found = []
    for service, times in repeats.items():
        for start_ms in times:
            extra = count_between(times, start_ms, start_ms + window_ms)
            asked = max(
                count_between(
                    sent[service], start_ms - back, start_ms - back + window_ms
                )
                for back in (0, window_ms // 2, window_ms)
            )
            allowed = site.RETRY_RATIO * asked + site.RETRY_EXTRA
            if extra > allowed:
                found.append(
                    f"{service}: {extra} retries in {window_ms} ms,"
                    f" {allowed:.0f} allowed"
                )
    return found


def service_name(runner: str) -> str:
    """Returns the service of a runner of the stand-in.

    :param runner: its id, as ``i-model-0``
    :return: name of the service
    """
    return runner.split("-")[1]


def count_between(times: list[int], start_ms: int, end_ms: int) -> int:
    """Counts times in a span.

    :param times: in ascending order
    :param start_ms: start of the span, inclusive
    :param end_ms: end of the span, exclusive
    :return: number of times in the span
    """
    first = bisect.bisect_left(times, start_ms)
    return bisect.bisect_left(times, end_ms) - first


def find_quota_excess(history: History) -> list[str]:
    """Finds windows in which team "small" used more than its quota."""
    window_ms = site.QUOTA_WINDOW_S * MS_PER_S
    allowed = (
        site.SMALL_RATE_PER_S * site.QUOTA_WINDOW_S + site.SMALL_BURST
    ) * (1 + site.QUOTA_OVERAGE) + site.QUOTA_SLACK_TOKENS
    used: list[tuple[int, int]] = []
    for run in sorted(history.runs, key=lambda item: item.at_ms):
        record = history.by_id.get(run.id)
        if record is None or run.team != "small":
            continue
        tokens = words.PLAIN_TOKENS
        if record.events:
            tokens = callers.PROMPT_TOKENS + record.events
        used.append((run.at_ms, tokens))
    found: list[str] = []
    for number, (start_ms, _tokens) in enumerate(used):
        total = sum(
            tokens
            for at_ms, tokens in used[number:]
            if at_ms < start_ms + window_ms
        )
        if total > allowed:
            found.append(
                f"{total} tokens in {window_ms} ms, {allowed:.0f} allowed"
            )
    return found


def find_lost_requests(history: History) -> list[str]:
    """Finds requests that a graceful stop left without a whole response."""
    found: list[str] = []
    for injected in history.injected_faults:
        if injected.kind != "terminate":
            continue
        found.extend(
            f"{record.id} had no whole response at SIGTERM of"
            f" {injected.target}"
            for record in history.records
            if record.entry == injected.target
            and record.sent_ms - CLOCK_TOLERANCE_MS
            <= injected.start_ms
            <= record.ended_ms
            and not record.is_complete
            and not record.disconnected_ms
            and is_caused_by_stop(history, injected, record)
        )
    return found


def is_caused_by_stop(
    history: History,
    injected: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether only the SIGTERM can explain an incomplete request.

    :param history: with the injected faults
    :param injected: the SIGTERM
    :param record: a request without a whole response
    :return: whether no other fault was near, and the request was forwarded
        or ended late
    """
    others = [
        item
        for item in history.injected_faults
        if item is not injected
        and item.overlaps(record.sent_ms - CONTACT_MS, record.ended_ms)
        and not item.target.startswith("agent")
    ]
    was_forwarded = bool(history.runs_of[record.id])
    is_late = record.ended_ms - record.sent_ms > LOSS_SLACK_MS
    return not others and (was_forwarded or is_late)


def find_late_answers(history: History) -> list[str]:
    """Reports many late responses of entries without faults."""
    limit_ms = site.TIMEOUT_MS + ANSWER_SLACK_MS + CLOCK_TOLERANCE_MS
    late = [
        record.id
        for record in history.records
        if record.ended_ms - record.sent_ms > limit_ms
        and not record.disconnected_ms
        and history.is_healthy(record.entry, record.sent_ms, record.ended_ms)
    ]
    if len(late) < MIN_LATE_ANSWERS:
        return []
    return [f"{len(late)} got a response after their deadline: {late[:5]}"]


def find_abandoned_runs(history: History) -> list[str]:
    """Reports many runs that went on after their callers disconnected."""
    checked = 0
    late = []
    for record in history.records:
        if not record.disconnected_ms:
            continue
        latest_end_ms = record.disconnected_ms + CANCEL_MS + CLOCK_TOLERANCE_MS
        for run in history.runs_of[record.id]:
            if history.has_fault(run.runner, run.at_ms, latest_end_ms):
                continue
            if not history.is_healthy(record.entry, run.at_ms, latest_end_ms):
                continue
            checked += 1
            if run.ended_ms is None or run.ended_ms > latest_end_ms:
                late.append(record.id)
    if len(late) < MIN_RAN_ON or len(late) <= RAN_ON_SHARE * checked:
        return []
    return [
        f"{len(late)} of {checked} ran on after their callers disconnected"
    ]


def find_missing_recovery(history: History) -> list[str]:
    """Reports that too few requests succeed after all faults have ended."""
    end_times = [
        injected.end_ms or injected.start_ms
        for injected in history.injected_faults
    ]
    start_ms = max(end_times, default=0) + RECOVERY_MS
    late = [
        record
        for record in history.records
        if record.sent_ms >= start_ms and record.key == "key-large"
    ]
    served = sum(
        record.status == 200 and record.is_complete for record in late
    )
    if late and served < RECOVERED_SHARE * len(late):
        return [f"{served} of {len(late)} succeeded after the last fault"]
    return []


def find_unexpected_exits(history: History) -> list[str]:
    """Returns the programs that ended without being asked to."""
    return history.unexpected_exits


def find_arrivals_after_leaving(history: History) -> list[str]:
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


def find_ignored_pauses(history: History) -> list[str]:
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
        count = count_between(arrivals[life], start_ms, end_ms)
        if count > MAX_ARRIVALS_IN_PAUSE:
            found.append(
                f"{count} requests of {record.entry} reached {asked.runner}"
                f" within the {asked.pause_ms} ms that it asked for"
            )
    return found


def find_exceeded_limits(history: History) -> list[str]:
    """Finds limits that a runner named and the entries did not keep."""
    found = []
    for (runner, _born, per_s), arrivals in limited_arrivals(history).items():
        tolerated = (
            TOLERATED_LIMIT_FACTOR * per_s * LIMIT_WINDOW_MS / MS_PER_S
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
    history: History,
) -> dict[tuple[str, int, float], list[int]]:
    """Returns the arrivals that count against limits.

    :param history: with runs and rejected arrivals
    :return: wall times in order, by runner, its life and the limit; from
        :data:`CONTACT_MS` after it was named, of entries that had been told
        for a while, and told again after a fault
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
            arrival.at_ms - since_ms >= CONTACT_MS
            and arrival.at_ms - known_ms >= LIMIT_TOLD_MS
        ):
            found[named].append(arrival.at_ms)
    return found


def has_connection_fault(
    history: History, runner: str, start_ms: int, end_ms: int
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


def find_excess_crashes(history: History) -> list[str]:
    """Finds parts of prompts that go on to crash runners."""
    runs_by_part: dict[str, list[Run]] = collections.defaultdict(list)
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
        bound_ms = crashes_ms[CRASHES_BEFORE_BOUND - 1] + CONTACT_MS
        late = [
            run.id
            for run in runs
            if run.at_ms > bound_ms and was_sent_freely(history, run)
        ]
        if len(late) > MAX_LATE_CRASHES:
            found.append(f"{part} reached runners {len(late)} times: {late}")
    return found


def was_sent_freely(history: History, run: Run) -> bool:
    """Tells whether the entry that sent a run had no fault of its own then.

    Faults of the store don't matter: entries tell each other of crashes.
    """
    record = history.by_id.get(run.id)
    return record is not None and not history.has_fault(
        record.entry, run.at_ms - CONTACT_MS, run.at_ms
    )


def both(*checks: Check) -> Check:
    """Returns a check that reports what any of several find.

    :param checks: the checks
    :return: one check
    """
    return lambda history: [
        breach for check in checks for breach in check(history)
    ]


CHECKS: typing.Mapping[str, Check] = {
    "TWICE": find_repeated_runs,
    "REFUSED": find_runs_after_refusal,
    "MIXED": find_wrong_answers,
    "ORDER": joined_streams.find_joined_streams,
    "UNASKED": find_unrequested_runs,
    "DENIED": find_wrong_denials,
    "CONFIG": find_runs_after_withdrawal,
    "DRAIN": both(find_late_arrivals, find_arrivals_after_leaving),
    "BUDGET": both(
        find_excess_retries, find_ignored_pauses, find_excess_crashes
    ),
    "QUOTA": find_quota_excess,
    "LIMIT": find_exceeded_limits,
    "LOST": find_lost_requests,
    "HELD": find_late_answers,
    "GONE": find_abandoned_runs,
    "RECOVER": find_missing_recovery,
    "OWN END": find_unexpected_exits,
}


def check_promises(history: History) -> dict[str, list[str]]:
    """Checks every promise.

    :param history: what callers and runners observed
    :return: breaches by promise, without promises that were kept
    """
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: breaches for name, breaches in found.items() if breaches}
