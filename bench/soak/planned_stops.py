"""Finds requests that planned stops of gateways left without an answer."""

from bench.soak import callers
from bench.soak import deployment
from bench.soak import history as histories
from bench.soak import plan
from bench.soak import site

# Of the users' rule.
LOSS_SLACK_MS = 200
STOP_RULE_MS = (site.LEAVE_S + 1) * histories.MS_PER_S
HANG_UP_RULE_MS = 3_000
LAST_ACCEPTED_MS = 3_000
LEAVE_MS = site.LEAVE_S * histories.MS_PER_S
LATE_WORK_MS = LEAVE_MS * 5 // 6
HANG_UP = "reload"
# At their end the gateway is started again.
RESTART_KINDS = ("kill", *plan.RESTART_KINDS, *plan.GRACEFUL_KINDS)
# Runners answer so to new requests only, or their ledger tells which answers
# they have broken off.
UNCUTTING_KINDS = (
    HANG_UP,
    "name_limit",
    "ask_pause",
    "lose_answers",
    "misdirect",
    "refuse",
    "cut_streams",
    "break_unframed",
    "close_unframed",
    "whole_unframed",
    "answers_unframed",
)


def find_lost_requests(history: histories.History) -> list[str]:
    """Finds requests that a planned stop left without a whole response."""
    return [
        f"{record.id} had no whole response at {signal_name(injected)} of"
        f" {injected.target}"
        for injected in history.injected_faults
        if injected.kind in (*plan.GRACEFUL_KINDS, HANG_UP)
        for record in history.records
        if is_around(history, injected, record)
        and not record.is_complete
        and not record.disconnected_ms
        and not is_excused(history, record)
        and is_caused_by_stop(history, injected, record)
    ]


def signal_name(injected: deployment.InjectedFault) -> str:
    """Returns the name of a planned stop's signal.

    :param injected: the stop
    """
    return "SIGHUP" if injected.kind == HANG_UP else "SIGTERM"


def is_around(
    history: histories.History,
    injected: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether a request was under way at a stop, or sent after it.

    :param history: with the faults
    :param injected: the stop
    :param record: a request
    :return: whether the rule on planned work covers it
    """
    if record.entry != injected.target:
        return False
    sent_ms = record.sent_ms - histories.CLOCK_TOLERANCE_MS
    signals_ms = (injected.start_ms, *injected.again_ms)
    if any(sent_ms <= at_ms <= record.ended_ms for at_ms in signals_ms):
        return True
    rule_ms = HANG_UP_RULE_MS if injected.kind == HANG_UP else STOP_RULE_MS
    last_ms = injected.start_ms + rule_ms
    restarted_ms = next_restart_ms(history, injected)
    return injected.start_ms <= record.sent_ms <= min(last_ms, restarted_ms)


def next_restart_ms(
    history: histories.History, injected: deployment.InjectedFault
) -> int:
    """Returns when the process that got a signal was replaced.

    :param history: with the faults
    :param injected: a stop
    :return: when a restart of its gateway began, the end of the test if none
        did
    """
    return min(
        (
            killed_ms(history, fault)
            for fault in history.injected_faults
            if fault.target == injected.target
            and fault.kind in RESTART_KINDS
            and killed_ms(history, fault) >= injected.start_ms
        ),
        default=history.end_ms,
    )


def killed_ms(
    history: histories.History, stop: deployment.InjectedFault
) -> int:
    """Returns when what was left of a stopped program was killed.

    :param history: with the end of the test
    :param stop: a fault that ends with a start of the program
    """
    return stop.killed_ms or stop.end_ms or history.end_ms


def is_excused(
    history: histories.History, record: callers.RequestRecord
) -> bool:
    """Tells whether the rule lets a request end without a whole response.

    :param history: with the runs and faults
    :param record: a request without a whole response
    :return: whether its time was over, its runner broke off, or a stop of its
        gateway had no time left
    """
    if record.ended_ms - record.sent_ms >= site.timeout_ms(record.route):
        return True
    last_run = history.last_run(record.id)
    if last_run is not None and last_run.broke_off:
        return True
    return any(
        injected.kind in plan.GRACEFUL_KINDS
        and injected.target == record.entry
        and (
            was_at_work_late(history, injected, record)
            or was_killed_early(history, injected, record)
        )
        for injected in history.injected_faults
    )


def was_at_work_late(
    history: histories.History,
    stop: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether a runner was at work near the end of a stop's time.

    :param history: with the runs
    :param stop: a stop of the request's gateway
    :param record: a request that was under way then
    :return: whether it was, on a request that was sent early enough
    """
    late_ms = stop.start_ms + LATE_WORK_MS
    return (
        record.sent_ms <= stop.start_ms + LAST_ACCEPTED_MS
        and record.ended_ms >= late_ms
        and any(
            run.ended_ms is None or run.ended_ms >= late_ms
            for run in history.runs_of[record.id]
        )
    )


def was_killed_early(
    history: histories.History,
    stop: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether the soak test killed a gateway before its time was over.

    :param history: with the end of the test
    :param stop: a stop of the request's gateway
    :param record: a request
    :return: whether it did, while the request was under way
    """
    at_ms = killed_ms(history, stop)
    if at_ms - stop.start_ms >= LEAVE_MS:
        return False
    slack_ms = histories.CLOCK_TOLERANCE_MS
    return record.sent_ms <= at_ms <= record.ended_ms + slack_ms


def was_unframed_at_stop(
    history: histories.History, record: callers.RequestRecord
) -> bool:
    """Tells whether a whole answer without framing was under way at a stop.

    :param history: with the runs and faults
    :param record: a request
    :return: whether the runner sent all while its gateway was being stopped
    """
    runs = history.runs_of[record.id]
    return any(
        run.closed_after is not None and not run.broke_off for run in runs
    ) and any(
        injected.kind in plan.GRACEFUL_KINDS
        and is_around(history, injected, record)
        for injected in history.injected_faults
    )


def is_caused_by_stop(
    history: histories.History,
    injected: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether only a planned stop can explain an incomplete request.

    :param history: with the injected faults
    :param injected: the stop
    :param record: a request without a whole response
    :return: whether no other fault was near, and the request was forwarded
        or ended late
    """
    others = [
        item
        for item in history.injected_faults
        if item is not injected and could_cut(history, item, injected, record)
    ]
    was_forwarded = bool(history.runs_of[record.id])
    is_late = record.ended_ms - record.sent_ms > LOSS_SLACK_MS
    return not others and (was_forwarded or is_late)


def could_cut(
    history: histories.History,
    fault: deployment.InjectedFault,
    stop: deployment.InjectedFault,
    record: callers.RequestRecord,
) -> bool:
    """Tells whether a fault can explain an incomplete request.

    Only its gateway can end a request that it has held so far, and only that
    and its runner one that is running.

    :param history: with the runs
    :param fault: any fault but the stop
    :param stop: the stop
    :param record: a request without a whole response
    :return: whether it can
    """
    if fault.target.startswith("agent") or fault.kind in UNCUTTING_KINDS:
        return False
    sent_ms, ended_ms = record.sent_ms, record.ended_ms
    end_ms = killed_ms(history, stop)
    if stop.kind == HANG_UP:
        end_ms = history.end_ms
    reached = {
        run.runner
        for run in history.runs + history.rejected
        if run.id == record.id
    }
    is_clear = not record.status or reached
    if not is_clear or ended_ms > end_ms - histories.CLOCK_TOLERANCE_MS:
        return fault.overlaps(sent_ms - histories.CONTACT_MS, ended_ms)
    if fault.target == record.entry:
        if fault.kind in plan.GRACEFUL_KINDS:
            # Only the kill at its end may cut.
            at_ms = killed_ms(history, fault)
            return sent_ms <= at_ms <= ended_ms + histories.CLOCK_TOLERANCE_MS
        return fault.overlaps(sent_ms, ended_ms + histories.CLOCK_TOLERANCE_MS)
    if not reached:
        return False
    if fault.target == "models":
        return fault.overlaps(sent_ms, ended_ms) and any(
            run.crashes_on
            and run.runner in reached
            and sent_ms - histories.CONTACT_MS <= run.at_ms <= ended_ms
            for run in history.runs
        )
    return fault.target in reached and fault.overlaps(
        sent_ms - histories.CONTACT_MS, ended_ms
    )
