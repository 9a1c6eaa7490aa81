"""Explains the outcome of a request from logs alone."""

import dataclasses
import typing

from godwitloft import events
from godwitloft.audit import cause as causes
from godwitloft.audit import request_logs
from godwitloft.audit import stop_causes
from godwitloft.gateway import outcomes

CORRELATION_WINDOW_MS = 1_000
OVERLOAD_REASONS = ("queue_full", "wait_too_long", "waited_too_long")
# Reasons that need no other log lines to be explained.
REFUSAL_CAUSES: typing.Mapping[str, str] = {
    "crashes_upstreams": "requests like it crash their upstreams",
    "no_route": "no route matches its host and path",
    "unknown_key": "its key is not one of the configuration in force",
    "team_allowance": "its team has used up its allowance",
    "not_configured": "the process had no configuration yet",
    "not_connected": "no upstream took a connection",
    "not_reached": "no upstream could be reached",
    "leaving": "the process was told to end",
    "timeout": "its time limit was over",
}


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What one process did with a request, and why it ended so.

    :param process: name of the process
    :param steps: its log lines about the request
    :param cause: one sentence on why the request ended as it did
    :param evidence: facts from other log lines that support the cause
    """

    process: str
    steps: tuple[request_logs.Line, ...]
    cause: str
    evidence: tuple[str, ...]


def explain(logs: request_logs.Logs, request: str) -> tuple[Explanation, ...]:
    """Explains the outcome of a request.

    :param logs: logs of any number of processes
    :param request: id of the request
    :return: one explanation for each process that logged the request
    """
    explanations = []
    for process, steps in logs.steps_by_process(request).items():
        cause = cause_of(logs, steps)
        explanations.append(
            Explanation(process, tuple(steps), cause.sentence, cause.evidence)
        )
    return tuple(explanations)


def cause_of(
    logs: request_logs.Logs, steps: list[request_logs.Line]
) -> causes.Cause:
    """Determines why a request ended as it did.

    :param logs: logs of any number of processes
    :param steps: lines of one process about the request
    :return: the cause
    """
    last = steps[-1]
    if last.is_event(events.ANSWER_UNSENT):
        return stop_causes.cause_of_unsent(last)
    if last.is_event(events.REQUEST_UNREAD):
        return stop_causes.cause_of_unread(last)
    if last.is_event(events.REQUEST_REFUSED):
        cause = cause_of_refusal(logs, last, steps)
    elif last.is_event(events.ANSWER_FAILED):
        cause = cause_of_failed_answer(logs, last, steps)
    elif last.is_event(events.REQUEST_ANSWERED):
        cause = cause_of_answer(last)
    else:
        return cause_of_missing_end(logs, last)
    return stop_causes.with_stop(cause, last)


def cause_of_failed_answer(
    logs: request_logs.Logs,
    end: request_logs.Line,
    steps: list[request_logs.Line],
) -> causes.Cause:
    """Determines why an answer was cut off, or which failure it told.

    :param logs: logs of any number of processes
    :param end: the line that reports it
    :param steps: all lines about the request
    :return: the cause
    """
    if end.fields.get("outcome") == outcomes.FAILED:
        return cause_of_failure(end)
    return cause_of_broken_run(logs, end, steps, "the answer was cut off")


def cause_of_refusal(
    logs: request_logs.Logs,
    end: request_logs.Line,
    steps: list[request_logs.Line],
) -> causes.Cause:
    """Determines why a request was refused.

    :param logs: logs of any number of processes
    :param end: the line that reports the refusal
    :param steps: all lines about the request
    :return: the cause
    """
    reason = end.fields.get("reason", "")
    if end.fields.get("runs"):
        return cause_of_broken_run(logs, end, steps, "its end is unknown")
    if reason in OVERLOAD_REASONS:
        return cause_of_overload(logs, end)
    if reason == "configuration_unproven":
        return cause_of_stale_configuration(logs, end)
    failures = [
        step for step in steps if step.is_event(events.UPSTREAM_FAILED)
    ]
    evidence = tuple(
        f"{failure.fields['upstream']}: {failure.fields['reason']}"
        for failure in failures
    )
    sentence = REFUSAL_CAUSES.get(reason, reason.replace("_", " "))
    return causes.Cause(f"refused, nothing ran: {sentence}", evidence)


def cause_of_overload(
    logs: request_logs.Logs, end: request_logs.Line
) -> causes.Cause:
    """Describes how loaded the upstreams were.

    :param logs: logs of any number of processes
    :param end: the line that reports the refusal
    :return: the cause
    """
    route = end.fields.get("route")
    newest: dict[str, request_logs.Line] = {}
    for line in logs.lines_near(
        end, events.REQUEST_PLACED, CORRELATION_WINDOW_MS
    ):
        if line.time_ms <= end.time_ms and line.fields.get("route") == route:
            newest[line.fields["upstream"]] = line
    evidence = [
        f"{name}: running {line.fields['running']}"
        f" of {line.fields['allowed']} allowed"
        for name, line in sorted(newest.items())
    ]
    gateways = logs.last_before(end, events.GATEWAYS_CHANGED)
    if gateways is not None:
        evidence.append(f"{gateways.fields['number']} gateways share them")
    waited_ms = end.fields.get("waited_ms", 0)
    return causes.Cause(
        "refused, nothing ran: overload, more work than places"
        f" (waited {waited_ms} ms, told to come back in"
        f" {end.fields.get('retry_after_ms')} ms)",
        tuple(evidence),
    )


def cause_of_stale_configuration(
    logs: request_logs.Logs, end: request_logs.Line
) -> causes.Cause:
    """Describes how long the store had been unreachable.

    :param logs: logs of any number of processes
    :param end: the line that reports the refusal
    :return: the cause
    """
    store_event = logs.last_before(
        end, events.STORE_FAILED, events.STORE_RECOVERED
    )
    age_ms = end.fields.get("proof_age_ms")
    sentence = (
        "refused, nothing ran: the configuration was last proved"
        f" {age_ms} ms before"
    )
    if store_event is None or store_event.is_event(events.STORE_RECOVERED):
        return causes.Cause(sentence)
    return causes.Cause(
        sentence,
        (
            f"the store failed {end.time_ms - store_event.time_ms} ms before:"
            f" {store_event.fields.get('reason')}",
        ),
    )


def cause_of_failure(end: request_logs.Line) -> causes.Cause:
    """Describes a failure that the upstream itself reported.

    :param end: the line that reports the end of the request
    :return: the cause
    """
    return causes.Cause(
        f"{end.fields.get('upstream')} answered with a failure"
        f" ({end.fields.get('reason')}), which was passed on",
        (f"it was sent {end.fields.get('attempts')} times",),
    )


def cause_of_broken_run(
    logs: request_logs.Logs,
    end: request_logs.Line,
    steps: list[request_logs.Line],
    effect: str,
) -> causes.Cause:
    """Determines what ended a request, and where it had been sent.

    :param logs: logs of any number of processes
    :param end: the line that reports the end of the request
    :param steps: all lines about the request
    :param effect: what the caller saw
    :return: the cause
    """
    if end.fields.get("reason") == stop_causes.LEAVING:
        cause = stop_causes.cause_of_limit(end, effect)
    else:
        cause = cause_of_abort(logs, end, steps, effect)
    sending = stop_causes.evidence_of_sending(end, steps)
    return dataclasses.replace(cause, evidence=(*cause.evidence, *sending))


def cause_of_abort(
    logs: request_logs.Logs,
    end: request_logs.Line,
    steps: list[request_logs.Line],
    effect: str,
) -> causes.Cause:
    """Determines what aborted a request, and whether others were too.

    :param logs: logs of any number of processes
    :param end: the line that reports the end of the request
    :param steps: all lines about the request
    :param effect: what the caller saw
    :return: the cause
    """
    upstream = end.fields.get("upstream", "")
    reason = end.fields.get("reason", "")
    if reason == "timeout":
        placed = [
            line.fields
            for line in steps
            if line.is_event(events.REQUEST_PLACED)
        ]
        sent = placed[-1] if placed else end.fields.get("sent", {})
        waited = sent.get("waited_ms", "unknown")
        return causes.Cause(
            f"{effect}: its time limit was over while it ran on {upstream}",
            (f"it had waited {waited} ms before it was sent",),
        )
    if reason == outcomes.Result.END_UNKNOWN.value:
        return causes.Cause(
            f"{effect}: {upstream} closed the connection, and nothing in the"
            " stream marks its end",
            (f"not asked for the rest: {end.fields.get('no_retry')}",),
        )
    others = [
        line
        for line in logs.lines_near(
            end,
            events.UPSTREAM_FAILED,
            CORRELATION_WINDOW_MS,
            any_process=True,
        )
        if line.fields.get("upstream") == upstream
        and line.fields.get("request") != end.fields.get("request")
    ]
    if others:
        scope = f"as {len(others)} other requests of it within a second"
    else:
        scope = "and no other request of it within a second"
    evidence = [f"{upstream}: {reason}, {scope}"]
    if end.fields.get("may_repeat") is False:
        evidence.append(
            "calls of this route may not be repeated, so it was not sent again"
        )
    else:
        evidence.append(f"it was sent {end.fields.get('attempts')} times")
    return causes.Cause(
        f"{effect}: {upstream} broke it off ({reason})", tuple(evidence)
    )


def cause_of_answer(end: request_logs.Line) -> causes.Cause:
    """Describes whether an answer met its latency target.

    :param end: the line that reports the end of the request
    :return: the cause
    """
    fields = end.fields
    outcome = fields.get("outcome", "")
    first_ms = fields.get("first_ms")
    target_ms = fields.get("target_ms", 0)
    if outcome != outcomes.COMPLETED:
        return causes.Cause("its caller left before the end")
    if first_ms is None:
        return causes.Cause("answered without data")
    if first_ms <= target_ms:
        return causes.Cause(f"answered on time: {first_ms} of {target_ms} ms")
    return causes.Cause(
        f"answered late: {first_ms} ms, {target_ms} ms were the target"
    )


def cause_of_missing_end(
    logs: request_logs.Logs, last: request_logs.Line
) -> causes.Cause:
    """Determines why no end was logged.

    :param logs: logs of any number of processes
    :param last: the last line about the request
    :return: the cause
    """
    ended = logs.process_end_after(last)
    if ended is events.STARTED:
        return causes.Cause(
            "its end is unknown: the process was killed or lost power",
            (f"{last.process} started again without having stopped",),
        )
    if ended is events.STOPPED:
        return causes.Cause("no end was logged before the process stopped")
    return causes.Cause(
        "no end was logged: it still runs, or lines were dropped"
    )
