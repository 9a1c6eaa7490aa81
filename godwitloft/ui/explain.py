"""``godwitloft explain``: tells what became of a request, and why."""

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


@cappa.command(name="explain", help="Tell what became of a request.")
@dataclasses.dataclass(kw_only=True)
class Explain(options.Online):
    """Arguments of the command."""

    request_id: typing.Annotated[
        str, cappa.Arg(help="As the answer's X-Request-Id has it.")
    ]
    logs: typing.Annotated[
        list[str],
        cappa.Arg(
            help="Files of what gateways and agents logged; without them, an"
            " entry is asked.",
        ),
    ] = dataclasses.field(default_factory=list)


async def run(command: Explain, session: sessions.Session) -> report.Report:
    """Looks into logs, or asks the entry about a request.

    :param command: its arguments
    :param session: the world around it
    :return: its steps
    """
    if command.logs:
        return explain_from_logs(command, session)
    found = await client.send(
        options.connect(command, session),
        session,
        client.Call(
            "GET",
            f"explain/{client.quote(command.request_id)}",
            operator_port.Explanation,
        ),
    )
    return report.Report(
        found,
        (
            f"request {found.request_id}: {found.state}",
            f"service {found.service}, tier {found.tier}, team {found.team}",
            *report.table(
                ("after", "what", "detail"),
                (
                    (f"{step.after_ms} ms", step.what, step.detail)
                    for step in found.steps
                ),
            ),
        ),
    )


def explain_from_logs(
    command: Explain, session: sessions.Session
) -> report.Report:
    """Explains a request from the logs of any number of processes.

    :param command: its arguments
    :param session: the world around it
    :return: steps and cause for each process that had the request
    :raises errors.CommandError: when no line tells of the request
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
        lines.extend(life_lines(life))
    return report.Report(lives, tuple(lines))


def life_lines(life: explanation.Explanation) -> list[str]:
    """Writes what one process did with a request.

    :param life: as found
    :return: lines for people
    """
    first_ms = life.steps[0].time_ms
    rows = (
        (
            f"{step.time_ms - first_ms} ms",
            step.event,
            str(step.fields.get("message", "")),
            step_detail(step),
        )
        for step in life.steps
    )
    return [
        f"in {life.process}",
        *report.table(("after", "event", "what", "detail"), rows),
        f"cause: {life.cause}",
        *(f"  {one}" for one in life.evidence),
    ]


# Said by other columns, or the same on all lines.
SHOWN_ELSEWHERE = ("time", "level", "event", "message", "request")


def step_detail(step: request_logs.Line) -> str:
    """Writes the fields of a line.

    :param step: any line
    :return: names and values
    """
    return " ".join(
        f"{name}={value}"
        for name, value in step.fields.items()
        if name not in SHOWN_ELSEWHERE
    )
