"""Formats results of commands, as text or as JSON for scripts."""

import dataclasses
import datetime
import json
import typing

from godwitloft import clock as clocks
from godwitloft.coordination import publish
from godwitloft.objects import canonical
from godwitloft.objects import diff
from godwitloft.ui import errors

HASH_CHARACTERS = 12
COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of a command.

    :param value: a data class or JSON value, printed with ``--json``
    :param lines: text, printed without ``--json``
    :param code: exit code of the command
    """

    value: object
    lines: tuple[str, ...]
    code: errors.ExitCode = errors.ExitCode.OK


def render(report: Report, as_json: bool) -> str:
    """Returns the output of a command.

    :param report: result of the command
    :param as_json: whether ``--json`` was given
    :return: text without a final newline
    """
    if as_json:
        return json.dumps(canonical.to_plain(report.value), indent=2)
    return "\n".join(report.lines)


def table(
    headings: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[object]],
) -> tuple[str, ...]:
    """Formats rows as a table with aligned columns.

    :param headings: one per column
    :param rows: cells, converted to text
    :return: lines without trailing spaces
    """
    cells = [[str(cell) for cell in row] for row in rows]
    lines = [[heading.upper() for heading in headings], *cells]
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(headings))
    ]
    return tuple(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def count(number: int, noun: str) -> str:
    """Formats a number with its noun.

    :param number: number of things
    :param noun: singular noun
    :return: for example ``1 object`` or ``2 objects``
    """
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def format_time(wall_ms: int) -> str:
    """Formats a point in time.

    :param wall_ms: milliseconds since 1970
    :return: date and time in UTC, or a dash for 0
    """
    if not wall_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clocks.MS_PER_S, tz=datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def head_table(heads: typing.Iterable[publish.Head]) -> tuple[str, ...]:
    """Formats heads of configurations as a table.

    :param heads: heads of configurations
    :return: lines of the table
    """
    return table(
        ("generation", "published", "author", "snapshot", "reason"),
        (
            (
                head.generation,
                format_time(head.published_wall_ms),
                head.author,
                head.snapshot_hash[:HASH_CHARACTERS],
                head.reason,
            )
            for head in heads
        ),
    )


def change_lines(
    changes: typing.Iterable[diff.ObjectChange],
) -> tuple[str, ...]:
    """Formats the differences between two sets.

    :param changes: the differences
    :return: one line per object, and one per changed field
    """
    return tuple(line for change in changes for line in _format_change(change))


def _format_change(change: diff.ObjectChange) -> typing.Iterator[str]:
    yield f"{change.action.value:7} {change.kind}/{change.object}"
    for field in change.fields:
        before = json.dumps(field.before)
        after = json.dumps(field.after)
        yield f"        {field.field}: {before} -> {after}"
