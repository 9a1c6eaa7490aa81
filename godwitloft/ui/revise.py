"""``godwitloft revise``: changes fields of one published object."""

import dataclasses
import typing

import cappa

from godwitloft.objects import check
from godwitloft.objects import diff
from godwitloft.objects import revise
from godwitloft.ui import check as check_command
from godwitloft.ui import client
from godwitloft.ui import options
from godwitloft.ui import publish
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(name="revise", help="Change fields of one published object.")
@dataclasses.dataclass(kw_only=True)
class Revise(options.PublishOptions):
    """Arguments of the command."""

    object: typing.Annotated[
        str, cappa.Arg(help="The object, for example team/brokers.")
    ]
    set: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True,
            required=True,
            help="FIELD=VALUE, for example wanted.version=4; may be repeated.",
        ),
    ]


async def run(command: Revise, session: sessions.Session) -> report.Report:
    """Revises the object.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the result
    """
    target = revise.parse_name(command.object)
    connection = options.create_connection(command, session)
    head, base = await client.read_snapshot(connection, session)
    objects = revise.revise(base, target, command.set)
    problems = check.check(objects)
    if problems:
        return check_command.report_problems(problems)
    changes = diff.diff(base, objects)
    return await publish.publish_or_preview(
        command, session, objects, head.generation, changes
    )
