"""``godwitloft rollout``: explains roll-outs from the logs of gateways."""

import dataclasses
import typing

import cappa

from godwitloft.audit import request_logs
from godwitloft.audit import rollout_history
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions
from godwitloft.ui import trace_files


@cappa.command(name="rollout", help="Show how roll-outs went, and why.")
@dataclasses.dataclass(kw_only=True)
class Rollout(options.OutputOptions):
    """Arguments of the command."""

    logs: typing.Annotated[
        list[str], cappa.Arg(required=True, help="Log files of gateways.")
    ]
    service: typing.Annotated[
        str,
        cappa.Arg(long=True, help="Only roll-outs of this service."),
    ] = ""


async def run(command: Rollout, session: sessions.Session) -> report.Report:
    """Explains roll-outs.

    :param command: arguments of the command
    :param session: streams to use
    :return: all roll-outs in the logs
    :raises errors.CommandError: if there is none
    """
    named = trace_files.read_named_lines(command.logs, session)
    found = [
        history
        for history in rollout_history.find(request_logs.Logs(named))
        if command.service in ("", history.service)
    ]
    if not found:
        raise errors.CommandError(
            f"no roll-out is in any of {len(command.logs)} logs",
            errors.ExitCode.PROBLEMS,
        )
    lines: list[str] = []
    for history in found:
        lines.extend(format_history(history))
    return report.Report(found, tuple(lines))


def format_history(history: rollout_history.History) -> list[str]:
    """Formats one roll-out.

    :param history: the roll-out
    :return: lines of text
    """
    times_ms = [step.time_ms for step in history.steps]
    times_ms += [stop.time_ms for stop in history.stops]
    first_ms = min([*times_ms, history.since_ms])

    def after(time_ms: int) -> str:
        return f"{(time_ms - first_ms) / 1000:.1f} s"

    former = ", ".join(history.former)
    lines = [
        f"{history.service}: {former} to {history.to}, order {history.order}",
        f"state: {history.phase} since {after(history.since_ms)}",
    ]
    if history.decider:
        since = after(max(first_ms, history.decider_since_ms))
        lines.append(f"decided by: {history.decider} since {since}")
    if history.sent:
        share = history.sent_to_new / history.sent
        lines.append(
            f"sent to {history.to}: {history.sent_to_new} of {history.sent}"
            f" requests ({share:.1%})"
        )
    evidence = history.last_evidence
    if evidence:
        lines.append(
            f"for it: {evidence.get('answers')} answers,"
            f" {evidence.get('failed')} failed; former versions:"
            f" {evidence.get('former_answers')},"
            f" {evidence.get('former_failed')} failed"
        )
        lines.append(
            f"against it: {evidence.get('strongest') or 'nothing'}"
            f" (evidence {evidence.get('evidence')}, 1 suffices)"
        )
    rows = [
        (step.time_ms, step.phase, step.decider, step.reason)
        for step in history.steps
    ]
    rows += [
        (stop.time_ms, "stopped", stop.process, stop.reason)
        for stop in history.stops
    ]
    lines.extend(
        report.table(
            ("after", "what", "gateway", "why"),
            ((after(row[0]), *row[1:]) for row in sorted(rows)),
        )
    )
    return lines
