"""``godwitloft explain``: tells what became of a request, and why."""

import dataclasses
import typing

import cappa

from godwitloft import operator_port
from godwitloft.ui import client
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(name="explain", help="Tell what became of a request.")
@dataclasses.dataclass(kw_only=True)
class Explain(options.Online):
    """Arguments of the command."""

    request_id: typing.Annotated[
        str, cappa.Arg(help="As the answer's X-Request-Id has it.")
    ]


async def run(command: Explain, session: sessions.Session) -> report.Report:
    """Asks the entry about a request.

    :param command: its arguments
    :param session: the world around it
    :return: its steps
    """
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
