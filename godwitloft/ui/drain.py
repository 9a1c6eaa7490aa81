"""``godwitloft drain``: shuts an instance down gracefully."""

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
    help="Tell an instance to accept no new requests, finish the accepted ones"
    " and exit.",
)
@dataclasses.dataclass(kw_only=True)
class Drain(options.ServerOptions):
    """Arguments of the command."""

    instance: typing.Annotated[
        str, cappa.Arg(help="Name of the instance, as shown by status.")
    ]
    reason: typing.Annotated[
        str, cappa.Arg(long=True, help="Why; written to the log.")
    ]


async def run(command: Drain, session: sessions.Session) -> report.Report:
    """Drains the instance.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: confirmation that it will drain
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
