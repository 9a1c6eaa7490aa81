"""Holds what callers and runners have seen against the promises."""

import bisect
import collections
import dataclasses
import typing

from bench.soak import callers
from bench.soak import deployment
from bench.soak import site
from godwitloft.standins import lakeshore_words as words

NOT_RUN_STATUSES = (408, 421, 429, 503)
MS_PER_S = 1000
# Bounds of the platform's rules, in milliseconds.
CONTACT_MS = 4_000
CONFIG_APPLY_MS = 3_000
DRAIN_MS = 3_000
ANSWER_SLACK_MS = 500
LOSS_SLACK_MS = 200
GONE_MS = 500
RECOVER_MS = 8_000
RECOVERED_SHARE = 0.25
GONE_SHARE = 0.25
GONE_AT_LEAST = 4
HELD_AT_LEAST = 8
# A runner tells of its state in its next row.
HEARTBEAT_MS = 400
# Between the clocks of a caller's thread and a runner's process.
MEASURING_MS = 250
UNSAFE_ROUTES = ("post", "once")


@dataclasses.dataclass(frozen=True)
class Run:
    """One run at a runner.

    :param id: of the request
    :param runner: where
    :param at_ms: wall time of its start
    :param ended_ms: wall time of its end, None while it runs
    :param team: that the runner was told
    :param key: that reached the runner, None as it should be
    :param hold: header that only the system may set
    :param path: that the runner was asked for
    """

    id: str
    runner: str
    at_ms: int
    ended_ms: int | None = None
    team: str | None = None
    key: str | None = None
    hold: str | None = None
    path: str = ""


@dataclasses.dataclass
class History:
    """Everything that was seen from outside.

    :param told: by callers
    :param runs: by runners
    :param turned_away: ids, runners and times of arrivals that weren't run
    :param marks: faults as they were brought about
    :param own_ends: of programs that nobody ended
    :param end_ms: wall time of the end of the soak
    """

    told: list[callers.Told]
    runs: list[Run]
    turned_away: list[Run] = dataclasses.field(default_factory=list)
    marks: list[deployment.Mark] = dataclasses.field(default_factory=list)
    own_ends: list[str] = dataclasses.field(default_factory=list)
    end_ms: int = 0

    def __post_init__(self) -> None:
        self.runs_of: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run.id].append(run)
        self.by_id = {told.id: told for told in self.told}

    def is_calm(self, entry: str, start_ms: int, end_ms: int) -> bool:
        """Tells whether nothing harmed an entry or the store lately.

        :param entry: its name
        :param start_ms: wall time
        :param end_ms: wall time
        :return: whether it was in touch all the while
        """
        return not any(
            mark.target in (entry, "store")
            and mark.overlaps(start_ms - CONTACT_MS, end_ms)
            for mark in self.marks
        )

    def is_harmed(self, target: str, start_ms: int, end_ms: int) -> bool:
        """Tells whether a fault hit something in a span.

        :param target: prefix of its name
        :param start_ms: wall time
        :param end_ms: wall time
        :return: whether a mark overlaps it
        """
        return any(
            mark.target.startswith(target) and mark.overlaps(start_ms, end_ms)
            for mark in self.marks
        )


Check = typing.Callable[[History], list[str]]


def twice(history: History) -> list[str]:
    """Finds calls that may run once and ran more often."""
    return [
        f"{told.id} ran {len(history.runs_of[told.id])} times"
        for told in history.told
        if told.route in UNSAFE_ROUTES and len(history.runs_of[told.id]) > 1
    ]


def refused(history: History) -> list[str]:
    """Finds calls that were told "not run" and ran."""
    return [
        f"{told.id} was told {told.status} and ran"
        for told in history.told
        if told.route in UNSAFE_ROUTES
        and told.status in NOT_RUN_STATUSES
        and history.runs_of[told.id]
    ]


def mixed(history: History) -> list[str]:
    """Finds answers that aren't the caller's own, whole one."""
    found = []
    for told in history.told:
        if told.status != 200:
            continue
        expected = told.expected()
        is_right = (
            told.body == expected
            if told.is_whole
            else expected.startswith(told.body)
        )
        if not is_right:
            found.append(f"{told.id} got {told.body[-60:]!r}")
    return found


def unasked(history: History) -> list[str]:
    """Finds runs of what no caller sent so."""
    found = []
    for run in history.runs:
        told = history.by_id.get(run.id)
        if told is None:
            found.append(f"{run.id} was sent by nobody")
        elif run.team != site.KEYS.get(told.key):
            found.append(f"{run.id} of {told.key} ran for {run.team}")
        elif run.key is not None or run.hold is not None:
            found.append(f"{run.id} bore what is not the caller's to send")
        elif run.path != f"/{told.route}/x":
            found.append(f"{run.id} asked for {run.path}")
    return found


def denied(history: History) -> list[str]:
    """Finds callers who were wrongly turned away for good."""
    always = ("key-large", "key-small")
    return [
        f"{told.id} got {told.status}"
        for told in history.told
        if told.status in (401, 403, 404)
        and told.key in always
        and told.route != site.EXTRA_ROUTE
    ]


def withdrawn(history: History) -> list[str]:
    """Finds runs with keys and routes that were taken away."""
    found = []
    for run in history.runs:
        told = history.by_id.get(run.id)
        if told is None:
            continue
        if told.key not in site.KEYS:
            found.append(f"{run.id} ran with the key of nobody")
        if told.key == site.GUEST_KEY and was_withdrawn(
            history, "withdraw_key", told.sent_ms, site.REVOKE_MS
        ):
            found.append(f"{run.id} ran with a key that was taken away")
        if (
            told.route == site.EXTRA_ROUTE
            and was_withdrawn(
                history, "withdraw_route", told.sent_ms, CONFIG_APPLY_MS
            )
            and history.is_calm(told.entry, told.sent_ms, run.at_ms)
        ):
            found.append(f"{run.id} ran on a route that was taken away")
    return found


def was_withdrawn(
    history: History, kind: str, sent_ms: int, after_ms: int
) -> bool:
    """Tells whether something had been taken away for long enough.

    :param history: with the marks
    :param kind: of the fault
    :param sent_ms: when a request was sent
    :param after_ms: how long it may still be served
    :return: whether it must not be served
    """
    spans = [
        (mark.start_ms, mark.end_ms or history.end_ms)
        for mark in history.marks
        if mark.kind == kind
    ]
    return any(
        start + after_ms < sent_ms < end for start, end in spans
    ) and not any(
        # A series gives it back in between, to some entries later.
        end - 1 <= sent_ms <= end + after_ms
        for _start, end in spans
    )


def drained(history: History) -> list[str]:
    """Finds requests that reached a runner long after it left."""
    found = []
    for run in history.runs + history.turned_away:
        told = history.by_id.get(run.id)
        if told is None:
            continue
        for mark in history.marks:
            if mark.target != run.runner or mark.kind not in ("drain", "gone"):
                continue
            is_late = (
                mark.start_ms + DRAIN_MS + HEARTBEAT_MS
                < run.at_ms
                < (mark.end_ms or history.end_ms)
            )
            if is_late and history.is_calm(
                told.entry, mark.start_ms, run.at_ms
            ):
                found.append(
                    f"{run.id} reached {run.runner} after {mark.kind}"
                )
    return found


def retried(history: History) -> list[str]:
    """Finds spans with more repeats than the retry budget allows."""
    window_ms = site.RETRY_WINDOW_S * MS_PER_S
    seen: set[str] = set()
    repeats: dict[str, list[int]] = collections.defaultdict(list)
    arrivals = sorted(
        history.runs + history.turned_away, key=lambda run: run.at_ms
    )
    for run in arrivals:
        if run.id in seen:
            repeats[service_of(run.runner)].append(run.at_ms)
        seen.add(run.id)
    sent: dict[str, list[int]] = collections.defaultdict(list)
    for told in sorted(history.told, key=lambda one: one.sent_ms):
        service = "model" if told.events else "desk"
        sent[service].append(told.sent_ms)
    found = []
    for service, times in repeats.items():
        for start_ms in times:
            extra = count(times, start_ms, start_ms + window_ms)
            asked = max(
                count(
                    sent[service], start_ms - back, start_ms - back + window_ms
                )
                for back in (0, window_ms // 2, window_ms)
            )
            allowed = site.RETRY_RATIO * asked + site.RETRY_EXTRA
            if extra > allowed:
                found.append(
                    f"{service}: {extra} repeats in {window_ms} ms,"
                    f" {allowed:.0f} allowed"
                )
    return found


def service_of(runner: str) -> str:
    """Returns the service of a runner of the stand-in.

    :param runner: its id, as ``i-model-0``
    :return: name of the service
    """
    return runner.split("-")[1]


def count(times: list[int], start_ms: int, end_ms: int) -> int:
    """Counts times in a span.

    :param times: in ascending order
    :param start_ms: first moment that counts
    :param end_ms: first moment that doesn't
    :return: how many
    """
    first = bisect.bisect_left(times, start_ms)
    return bisect.bisect_left(times, end_ms) - first


def over_quota(history: History) -> list[str]:
    """Finds spans in which the small team used more than its allowance."""
    window_ms = site.QUOTA_WINDOW_S * MS_PER_S
    allowed = (
        site.SMALL_RATE_PER_S * site.QUOTA_WINDOW_S + site.SMALL_BURST
    ) * (1 + site.QUOTA_OVERAGE) + site.QUOTA_SLACK_TOKENS
    used: list[tuple[int, int]] = []
    for run in sorted(history.runs, key=lambda one: one.at_ms):
        told = history.by_id.get(run.id)
        if told is None or run.team != "small":
            continue
        tokens = words.PLAIN_TOKENS
        if told.events:
            tokens = callers.PROMPT_TOKENS + told.events
        used.append((run.at_ms, tokens))
    found: list[str] = []
    for number, (start_ms, _tokens) in enumerate(used):
        total = sum(
            tokens
            for at_ms, tokens in used[number:]
            if at_ms < start_ms + window_ms
        )
        if total > allowed:
            found.append(f"{total} tokens in {window_ms} ms, {allowed:.0f}")
    return found


def lost(history: History) -> list[str]:
    """Finds requests that an orderly stop left without an answer."""
    found: list[str] = []
    for mark in history.marks:
        if mark.kind != "terminate":
            continue
        found.extend(
            f"{told.id} had no whole answer beside SIGTERM of {mark.target}"
            for told in history.told
            if told.entry == mark.target
            and told.sent_ms - MEASURING_MS <= mark.start_ms <= told.ended_ms
            and not told.is_whole
            and not told.left_ms
            and is_ours(history, mark, told)
        )
    return found


def is_ours(
    history: History, mark: deployment.Mark, told: callers.Told
) -> bool:
    """Tells whether nothing but a SIGTERM can have ended a request.

    :param history: with the marks
    :param mark: of the SIGTERM
    :param told: a request without a whole answer
    :return: whether no other fault was near
    """
    others = [
        one
        for one in history.marks
        if one is not mark
        and one.overlaps(told.sent_ms - CONTACT_MS, told.ended_ms)
        and not one.target.startswith("agent")
    ]
    was_passed_on = bool(history.runs_of[told.id])
    is_late = told.ended_ms - told.sent_ms > LOSS_SLACK_MS
    return not others and (was_passed_on or is_late)


def held(history: History) -> list[str]:
    """Finds that calm entries often answer after the time limit."""
    limit_ms = site.TIMEOUT_MS + ANSWER_SLACK_MS + MEASURING_MS
    late = [
        told.id
        for told in history.told
        if told.ended_ms - told.sent_ms > limit_ms
        and not told.left_ms
        and history.is_calm(told.entry, told.sent_ms, told.ended_ms)
    ]
    if len(late) < HELD_AT_LEAST:
        return []
    return [f"{len(late)} were answered after their time limit: {late[:5]}"]


def gone(history: History) -> list[str]:
    """Finds that runners go on working for callers who left."""
    checked = 0
    late = []
    for told in history.told:
        if not told.left_ms:
            continue
        judged_ms = told.left_ms + GONE_MS + MEASURING_MS
        for run in history.runs_of[told.id]:
            if history.is_harmed(run.runner, run.at_ms, judged_ms):
                continue
            if not history.is_calm(told.entry, run.at_ms, judged_ms):
                continue
            checked += 1
            if run.ended_ms is None or run.ended_ms > judged_ms:
                late.append(told.id)
    if len(late) < GONE_AT_LEAST or len(late) <= GONE_SHARE * checked:
        return []
    return [f"{len(late)} of {checked} ran on after their callers left"]


def unrecovered(history: History) -> list[str]:
    """Finds that too little is served when everything is back."""
    ends = [mark.end_ms or mark.start_ms for mark in history.marks]
    start_ms = max(ends, default=0) + RECOVER_MS
    late = [
        told
        for told in history.told
        if told.sent_ms >= start_ms and told.key == "key-large"
    ]
    served = sum(told.status == 200 and told.is_whole for told in late)
    if late and served < RECOVERED_SHARE * len(late):
        return [f"{served} of {len(late)} were served at the end"]
    return []


def own_end(history: History) -> list[str]:
    """Finds programs that ended by themselves."""
    return history.own_ends


CHECKS: typing.Mapping[str, Check] = {
    "TWICE": twice,
    "REFUSED": refused,
    "MIXED": mixed,
    "UNASKED": unasked,
    "DENIED": denied,
    "CONFIG": withdrawn,
    "DRAIN": drained,
    "BUDGET": retried,
    "QUOTA": over_quota,
    "LOST": lost,
    "HELD": held,
    "GONE": gone,
    "RECOVER": unrecovered,
    "OWN END": own_end,
}


def judge(history: History) -> dict[str, list[str]]:
    """Checks every promise.

    :param history: what was seen
    :return: breaches by promise, without promises that were kept
    """
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: breaches for name, breaches in found.items() if breaches}
