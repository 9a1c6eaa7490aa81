"""``godwitloft explain``: shows the outcome of a request and why."""

import dataclasses
import typing

import cappa

from godwitloft.audit import explanation
from godwitloft.audit import request_logs
from godwitloft.operators import operator_port
from godwitloft.ui import client
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions
from godwitloft.ui import trace_files


@cappa.command(name="explain", help="Show the outcome of a request and why.")
@dataclasses.dataclass(kw_only=True)
class Explain(options.ServerOptions):
    """Arguments of the command."""

    request_id: typing.Annotated[
        str, cappa.Arg(help="Value of the answer's X-Request-Id header.")
    ]
    logs: typing.Annotated[
        list[str],
        cappa.Arg(
            help="Log files of gateways and agents; without them, an entry is"
            " queried.",
        ),
    ] = dataclasses.field(default_factory=list)


async def run(command: Explain, session: sessions.Session) -> report.Report:
    """Explains a request from logs or by querying an entry.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the steps of the request
    """
    if command.logs:
        return explain_from_logs(command, session)
    explanation = await client.send(
        options.create_connection(command, session),
        session,
        client.Call(
            "GET",
            f"explain/{client.quote(command.request_id)}",
            operator_port.Explanation,
        ),
    )
    return report.Report(
        explanation,
        (
            f"request {explanation.request_id}: {explanation.state}",
            f"service {explanation.service}, tier {explanation.tier},"
            f" team {explanation.team}",
            *report.table(
                ("after", "what", "detail"),
                (
                    (f"{step.after_ms} ms", step.what, step.detail)
                    for step in explanation.steps
                ),
            ),
        ),
    )


def explain_from_logs(
    command: Explain, session: sessions.Session
) -> report.Report:
    """Explains a request from the logs of any number of processes.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: steps and cause for each process that handled the request
    :raises errors.CommandError: when no log line mentions the request
    """
    named = trace_files.read_named_lines(command.logs, session)
    logs = request_logs.Logs(named)
    lives = explanation.explain(logs, command.request_id)
    if not lives:
        raise errors.CommandError(
            f"request {command.request_id!r} is in none of"
            f" {len(command.logs)} logs",
            errors.ExitCode.PROBLEMS,
        )
    lines = [f"request {command.request_id}"]
    for life in lives:
        lines.extend(format_life(life))
    return report.Report(lives, tuple(lines))


def format_life(life: explanation.Explanation) -> list[str]:
    """Formats what one process did with a request.

    :param life: as read from the logs
    :return: lines of text
    """
    first_ms = life.steps[0].time_ms
    rows = (
        (
            f"{step.time_ms - first_ms} ms",
            step.event,
            str(step.fields.get("message", "")),
            format_fields(step),
        )
        for step in life.steps
    )
    return [
        f"in {life.process}",
        *report.table(("after", "event", "what", "detail"), rows),
        f"cause: {life.cause}",
        *(f"  {line}" for line in life.evidence),
    ]


# Shown in other columns, or equal on all lines.
OMITTED_FIELDS = ("time", "level", "event", "message", "request")


def format_fields(step: request_logs.Line) -> str:
    """Formats the fields of a log line.

    :param step: the line
    :return: names and values
    """
    return " ".join(
        f"{name}={value}"
        for name, value in step.fields.items()
        if name not in OMITTED_FIELDS
    )
