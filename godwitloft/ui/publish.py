"""``godwitloft publish``: publishes files of objects."""

import dataclasses
import typing

import cappa

from godwitloft.objects import check
from godwitloft.objects import diff
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.ui import check as check_command
from godwitloft.ui import client
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(name="publish", help="Publish files of objects.")
@dataclasses.dataclass(kw_only=True)
class Publish(options.PublishOptions):
    """Arguments of the command."""

    paths: check_command.Paths
    base: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Generation that the files are based on; later changes by"
            " others are kept. Without it, objects may only be added.",
        ),
    ] = None


@dataclasses.dataclass(frozen=True)
class DryRunResult:
    """Result of ``--dry-run``.

    :param base_generation: generation that the files are compared with
    :param changes: changes that publishing would make
    """

    base_generation: int
    changes: tuple[diff.ObjectChange, ...]


async def run(command: Publish, session: sessions.Session) -> report.Report:
    """Publishes the files.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the result
    """
    objects = parse.from_files(command.paths)
    problems = check.check(objects)
    if problems:
        return check_command.report_problems(problems)
    connection = options.create_connection(command, session)
    head, base = await client.read_snapshot(
        connection, session, command.base or 0
    )
    if command.base == 0:
        head, base = dataclasses.replace(head, generation=0), types.ObjectSet()
    changes = diff.diff(base, objects)
    if command.base is None and not command.dry_run:
        _check_only_additions(changes, head.generation)
    return await publish_or_preview(
        command, session, objects, head.generation, changes
    )


async def publish_or_preview(
    command: options.PublishOptions,
    session: sessions.Session,
    objects: types.ObjectSet,
    base_generation: int,
    changes: tuple[diff.ObjectChange, ...],
) -> report.Report:
    """Publishes a set unless this is a dry run.

    :param command: options of the command
    :param session: client, clock, streams and environment to use
    :param objects: the checked set
    :param base_generation: generation that the set is based on
    :param changes: changes since that generation
    :return: the result
    """
    if command.dry_run:
        return report.Report(
            DryRunResult(base_generation, changes),
            (
                *report.change_lines(changes),
                f"{report.count(len(changes), 'object')} would change from"
                f" generation {base_generation}; nothing was published",
            ),
        )
    answer = await client.send_publish(
        options.create_connection(command, session),
        session,
        objects,
        base_generation,
        command.reason,
        command.publish_id or session.new_id(),
    )
    return _to_report(answer, changes)


def _check_only_additions(
    changes: tuple[diff.ObjectChange, ...], generation: int
) -> None:
    # Without a base, it is unknown whether the files contain newer versions
    # of these objects or lack later changes by others.
    replaced = [
        f"{change.kind}/{change.object}"
        for change in changes
        if change.action is not diff.Action.ADDED
    ]
    if replaced:
        raise errors.CommandError(
            f"the files change or lack {', '.join(replaced)} of generation"
            f" {generation}; give --base with the generation that the files"
            f" started from, or --base {generation} to replace them",
            errors.ExitCode.CONFLICT,
        )


def _to_report(
    answer: operator_port.PublishAnswer,
    changes: tuple[diff.ObjectChange, ...],
) -> report.Report:
    generation = answer.head.generation
    if answer.outcome == "rejected":
        rejection = check_command.report_problems(answer.problems)
        return dataclasses.replace(rejection, value=answer)
    if answer.outcome == "conflicting":
        lines = tuple(
            f"{parse.singular(change.kind)}/{change.name} was changed in"
            f" generation {change.head.generation} by {change.head.author}:"
            f" {change.head.reason}"
            for change in answer.theirs
        )
        return report.Report(
            answer,
            (*lines, f"nothing was published; in force is {generation}"),
            errors.ExitCode.CONFLICT,
        )
    if answer.outcome == "unchanged":
        return report.Report(
            answer, (f"generation {generation} holds all of this already",)
        )
    rebased = ", with what others changed since" if answer.rebased else ""
    return report.Report(
        answer,
        (
            *report.change_lines(changes),
            f"generation {generation} was accepted{rebased}",
        ),
    )
