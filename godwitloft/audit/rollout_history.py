"""Finds in the logs of gateways how roll-outs went, and why."""

import dataclasses
import typing

from godwitloft import events
from godwitloft.audit import request_logs

ORDERED = "ordered"
FIGURES = (
    "answers",
    "failed",
    "former_answers",
    "former_failed",
    "evidence",
    "strongest",
)


@dataclasses.dataclass(frozen=True)
class Step:
    """A step, as the gateway that decided it logged it.

    :param time_ms: when, by that gateway's clock
    :param phase: the phase from then on
    :param reason: why
    :param decider: the gateway
    :param figures: what the decision was based on
    """

    time_ms: int
    phase: str
    reason: str
    decider: str
    figures: typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Stop:
    """A gateway's end of sending to the new version.

    :param process: the gateway
    :param time_ms: when, by its clock
    :param reason: the evidence
    """

    process: str
    time_ms: int
    reason: str


@dataclasses.dataclass(frozen=True)
class History:
    """One roll-out.

    :param service: name of the service
    :param order: version of the row of its order
    :param to: the new version
    :param former: the former versions
    :param phase: the last known phase
    :param since_ms: since when it is in that phase
    :param decider: gateway that decides, as far as is known
    :param decider_since_ms: since when that one does
    :param sent: requests to the service, by the last line of each gateway
    :param sent_to_new: those of them that went to the new version
    :param steps: by time
    :param stops: by time
    :param last_evidence: the latest figures of any gateway
    """

    service: str
    order: int
    to: str
    former: tuple[str, ...]
    phase: str
    since_ms: int
    decider: str
    decider_since_ms: int
    sent: int
    sent_to_new: int
    steps: tuple[Step, ...]
    stops: tuple[Stop, ...]
    last_evidence: typing.Mapping[str, typing.Any]


KINDS = (
    events.ROLLOUT_STEP,
    events.ROLLOUT_PHASE,
    events.ROLLOUT_STOPPED,
    events.ROLLOUT_EVIDENCE,
)


def find(logs: request_logs.Logs) -> list[History]:
    """Returns the roll-outs that are mentioned in logs.

    :param logs: logs of any number of gateways
    :return: by the time of their first line
    """
    codes = {kind.code for kind in KINDS}
    grouped: dict[tuple[str, int], list[request_logs.Line]] = {}
    lines = (line for line in logs.all_lines() if line.event in codes)
    for line in sorted(lines, key=lambda line: line.time_ms):
        service, order = line.fields.get("service"), line.fields.get("order")
        if isinstance(service, str) and isinstance(order, int):
            grouped.setdefault((service, order), []).append(line)
    return [
        history(service, order, found)
        for (service, order), found in grouped.items()
    ]


def history(
    service: str, order: int, lines: list[request_logs.Line]
) -> History:
    """Returns how one roll-out went.

    :param service: name of its service
    :param order: version of the row of its order
    :param lines: its lines, by time
    """
    steps = [line for line in lines if line.is_event(events.ROLLOUT_STEP)]
    stops = [line for line in lines if line.is_event(events.ROLLOUT_STOPPED)]
    phases = [line for line in lines if line.is_event(events.ROLLOUT_PHASE)]
    told = [line for line in lines if "sent_to_new" in line.fields]
    last = (steps or phases or lines)[-1]
    # Of the deciders named in a row, the first line with the last one.
    named = [line for line in lines if line.fields.get("decider")]
    deciders = named[-1:]
    for line in reversed(named):
        if line.fields["decider"] != named[-1].fields["decider"]:
            break
        deciders = [line]
    last_told = {line.process: line for line in told}
    former: list[str] = next(
        (line.fields["former"] for line in lines if "former" in line.fields),
        [],
    )
    return History(
        service=service,
        order=order,
        to=str(last.fields.get("to", "")),
        former=tuple(former),
        phase=str(last.fields.get("phase", "")),
        since_ms=last.time_ms,
        decider=str(deciders[0].fields["decider"]) if deciders else "",
        decider_since_ms=deciders[0].time_ms if deciders else 0,
        sent=sum(line.fields["sent"] for line in last_told.values()),
        sent_to_new=sum(
            line.fields["sent_to_new"] for line in last_told.values()
        ),
        steps=tuple(
            Step(
                line.time_ms,
                str(line.fields.get("phase", "")),
                str(line.fields.get("reason", "")),
                str(line.fields.get("decider", "")),
                figures(line),
            )
            for line in steps
        ),
        stops=tuple(
            Stop(
                line.process, line.time_ms, str(line.fields.get("reason", ""))
            )
            for line in stops
        ),
        last_evidence=figures(told[-1]) if told else {},
    )


def figures(line: request_logs.Line) -> dict[str, typing.Any]:
    """Returns the figures of a line.

    :param line: any line of a roll-out
    """
    return {name: line.fields[name] for name in FIGURES if name in line.fields}
