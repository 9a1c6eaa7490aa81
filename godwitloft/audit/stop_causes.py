"""Explains what a planned stop of a process did to a request."""

import dataclasses

from godwitloft import events
from godwitloft.audit import cause as causes
from godwitloft.audit import request_logs
from godwitloft.gateway import request as requests

LEAVING = "leaving"
UNKNOWN = "unknown"


def with_stop(cause: causes.Cause, end: request_logs.Line) -> causes.Cause:
    """Adds to a cause that the process was stopping.

    :param cause: why a request ended as it did
    :param end: the line that reports its end
    :return: the cause, unchanged if the process was not stopping
    """
    stopping_ms = end.fields.get("stopping_ms")
    if stopping_ms is None:
        return cause
    fact = f"the process had been stopping for {stopping_ms} ms"
    return dataclasses.replace(cause, evidence=(*cause.evidence, fact))


def cause_of_limit(end: request_logs.Line, effect: str) -> causes.Cause:
    """Describes a request that had not ended at the limit of a stop.

    :param end: the line that reports its end
    :param effect: what the caller saw
    :return: the cause
    """
    fields = end.fields
    stopping_ms = fields.get("stopping_ms", UNKNOWN)
    upstream = fields.get("upstream", "")
    evidence = []
    if fields.get("state") == requests.State.WAITING.value:
        evidence.append(f"it waited for another attempt after {upstream}")
    elif fields.get("upstream_ended"):
        evidence.append(f"{upstream} had ended its answer")
    else:
        evidence.append(f"{upstream} had not ended its answer")
    silent_ms = fields.get("upstream_silent_ms")
    if silent_ms is not None:
        evidence.append(f"{upstream} sent last {silent_ms} ms before")
    unsent = fields.get("unsent_bytes")
    if unsent:
        evidence.append(f"its caller had not read {unsent} bytes")
    return causes.Cause(
        f"{effect}: at the limit of a planned stop, {stopping_ms} ms after"
        " the signal",
        tuple(evidence),
    )


def cause_of_unsent(line: request_logs.Line) -> causes.Cause:
    """Describes an answer that was not sent before the process ended.

    :param line: the line that reports it
    :return: the cause
    """
    unsent = line.fields.get("unsent_bytes")
    stopping_ms = line.fields.get("stopping_ms", UNKNOWN)
    return causes.Cause(
        f"answered, but the process ended with {unsent} bytes that its caller"
        f" had not read, {stopping_ms} ms after the signal"
    )


def cause_of_unread(line: request_logs.Line) -> causes.Cause:
    """Describes a request that was not read before the process ended.

    :param line: the line that reports it
    :return: the cause
    """
    missing = line.fields.get("missing")
    stopping_ms = line.fields.get("stopping_ms", UNKNOWN)
    return causes.Cause(
        f"not answered, nothing ran: a part of its {missing} was missing when"
        f" the process ended, {stopping_ms} ms after the signal"
    )


def evidence_of_sending(
    end: request_logs.Line, steps: list[request_logs.Line]
) -> tuple[str, ...]:
    """Tells where a request was sent if no line of its own does.

    :param end: the line that reports its end
    :param steps: all lines about the request
    :return: the fact; none if GL1204 is there
    """
    sent = end.fields.get("sent")
    is_told = any(step.is_event(events.REQUEST_PLACED) for step in steps)
    if is_told or not isinstance(sent, dict):
        return ()
    return (
        f"it was sent to {end.fields.get('upstream')} (version"
        f" {sent.get('upstream_version')!r}) {sent.get('ms_ago')} ms before,"
        f" after it had waited {sent.get('waited_ms')} ms",
    )
