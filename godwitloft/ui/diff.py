"""``godwitloft diff``: compares files and generations."""

import dataclasses
import typing

import cappa

from godwitloft.objects import diff
from godwitloft.objects import parse
from godwitloft.ui import client
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(
    name="diff",
    help="Compare files with a generation, or two generations.",
)
@dataclasses.dataclass(kw_only=True)
class Diff(options.ServerOptions):
    """Arguments of the command."""

    paths: typing.Annotated[
        list[str],
        cappa.Arg(help="Files or directories of objects; none: use --to."),
    ] = dataclasses.field(default_factory=list)
    from_generation: typing.Annotated[
        int,
        cappa.Arg(
            long="--from", help="Older generation; 0: the accepted one."
        ),
    ] = 0
    to_generation: typing.Annotated[
        int,
        cappa.Arg(long="--to", help="Newer generation; 0: the accepted one."),
    ] = 0


async def run(command: Diff, session: sessions.Session) -> report.Report:
    """Compares two sets.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the differences
    """
    if command.paths and command.to_generation:
        raise errors.CommandError(
            "option --to: can't be combined with files", errors.ExitCode.USAGE
        )
    connection = options.create_connection(command, session)
    head, before = await client.read_snapshot(
        connection, session, command.from_generation
    )
    if command.paths:
        after = parse.from_files(command.paths)
        name = "the files"
    else:
        newer, after = await client.read_snapshot(
            connection, session, command.to_generation
        )
        name = f"generation {newer.generation}"
    changes = diff.diff(before, after)
    total = (
        f"{report.count(len(changes), 'object')} changed from generation"
        f" {head.generation} to {name}"
    )
    return report.Report(changes, (*report.change_lines(changes), total))
