"""``godwitloft check``: finds problems in files of objects."""

import dataclasses
import typing

import cappa

from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions

Paths = typing.Annotated[
    list[str],
    cappa.Arg(
        required=True,
        help="Files, or directories whose .json files are read.",
    ),
]


@cappa.command(name="check", help="Find problems in files of objects.")
@dataclasses.dataclass(kw_only=True)
class Check(options.OutputOptions):
    """Arguments of the command."""

    paths: Paths


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """What the command prints.

    :param problems: empty when the set is valid
    :param counts: number of objects of each kind
    :param snapshot_hash: of the set
    """

    problems: tuple[check.Problem, ...]
    counts: dict[str, int]
    snapshot_hash: str


async def run(command: Check, session: sessions.Session) -> report.Report:
    """Checks the files.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the problems, or counts and hash
    """
    objects = parse.from_files(command.paths)
    problems = check.check(objects)
    if problems:
        return report_problems(problems)
    counts = count(objects)
    snapshot_hash = canonical.hash_of(canonical.encode(objects))
    listed = ", ".join(f"{number} {kind}" for kind, number in counts.items())
    return report.Report(
        CheckResult((), counts, snapshot_hash),
        (f"ok: {listed}; snapshot {snapshot_hash[: report.HASH_CHARACTERS]}",),
    )


def count(objects: types.ObjectSet) -> dict[str, int]:
    """Counts the objects of each kind.

    :param objects: a set
    :return: kind to number of objects
    """
    return {kind: len(getattr(objects, kind)) for kind in parse.KINDS}


def report_problems(problems: tuple[check.Problem, ...]) -> report.Report:
    """Reports the problems of a set that can't be published.

    :param problems: at least one
    :return: one line per problem
    """
    lines = tuple(str(problem) for problem in problems)
    return report.Report(
        CheckResult(problems, {}, ""),
        (*lines, report.count(len(lines), "problem")),
        errors.ExitCode.PROBLEMS,
    )
