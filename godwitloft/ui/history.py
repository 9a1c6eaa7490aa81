"""``godwitloft history``: shows who published what, when and why."""

import dataclasses
import typing

import cappa

from godwitloft.operators import operator_http
from godwitloft.operators import operator_port
from godwitloft.ui import client
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(name="history", help="Show who published what and why.")
@dataclasses.dataclass(kw_only=True)
class History(options.ServerOptions):
    """Arguments of the command."""

    count: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of generations, newest first.")
    ] = operator_http.DEFAULT_HISTORY_COUNT
    before: typing.Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Only generations below this one; 0: from the newest.",
        ),
    ] = 0


async def run(command: History, session: sessions.Session) -> report.Report:
    """Reads the history.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the heads, newest first
    """
    answer = await client.send(
        options.create_connection(command, session),
        session,
        client.Call(
            "GET",
            "history",
            operator_port.HistoryAnswer,
            query={"count": command.count, "before": command.before},
        ),
    )
    return report.Report(answer.heads, report.head_table(answer.heads))
