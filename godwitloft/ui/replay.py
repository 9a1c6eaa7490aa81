"""``godwitloft replay``: runs a trace's inputs through the policy."""

import dataclasses
import typing

import cappa

from godwitloft import replay
from godwitloft.ui import audit
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions
from godwitloft.ui import trace_files


@cappa.command(
    name="replay",
    help="Run a trace's inputs through the current policy and show outcomes.",
)
@dataclasses.dataclass(kw_only=True)
class Replay(options.OutputOptions):
    """Arguments of the command."""

    traces: audit.Traces
    max_requests: typing.Annotated[
        int,
        cappa.Arg(long=True, help="Maximum number of waiting requests."),
    ] = replay.UNBOUNDED
    max_bytes: typing.Annotated[
        int,
        cappa.Arg(
            long=True, help="Maximum bytes of bodies of waiting requests."
        ),
    ] = replay.UNBOUNDED


async def run(command: Replay, session: sessions.Session) -> report.Report:
    """Replays the traces.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: one line per request, in order of completion
    """
    lines = trace_files.read_lines(command.traces, session)
    limits = replay.Limits(command.max_requests, command.max_bytes)
    try:
        outcomes = replay.replay(lines, limits)
    except replay.ReplayError as error:
        raise errors.CommandError(str(error), errors.ExitCode.USAGE) from error
    return report.Report(
        outcomes, tuple(outcome.text() for outcome in outcomes)
    )
