"""``godwitloft drain``: tells an instance to take no new work."""

import dataclasses
import typing

import cappa

from godwitloft.operators import operator_port
from godwitloft.ui import client
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(
    name="drain",
    help="Tell an instance to take no new work, finish what it has and exit.",
)
@dataclasses.dataclass(kw_only=True)
class Drain(options.ServerOptions):
    """Arguments of the command."""

    instance: typing.Annotated[
        str, cappa.Arg(help="Its name, as status shows it.")
    ]
    reason: typing.Annotated[
        str, cappa.Arg(long=True, help="Why; it stands in the log.")
    ]


async def run(command: Drain, session: sessions.Session) -> report.Report:
    """Drains the instance.

    :param command: its arguments
    :param session: the world around it
    :return: that it was told
    """
    answer = await client.send(
        options.create_connection(command, session),
        session,
        client.Call(
            "POST",
            f"drain/{client.quote(command.instance)}",
            operator_port.DrainAnswer,
            body=operator_port.DrainBody(command.reason),
        ),
    )
    return report.Report(answer, (f"{answer.instance} was told to drain",))
