"""Generates reference pages from data classes and their docstrings.

Run ``python -m godwitloft.operators.reference DIRECTORY`` after changing
settings or objects. A feature checks that the pages match the code.
"""

import dataclasses
import enum
import inspect
import pathlib
import re
import sys
import types as builtin_types
import typing

from godwitloft import settings
from godwitloft.gateway import options
from godwitloft.objects import check
from godwitloft.objects import types

NOTE = (
    "<!-- Written by `python -m godwitloft.operators.reference docs`; change"
    " the docstrings instead. -->"
)
TYPE_NAMES: typing.Mapping[typing.Any, str] = {
    str: "string",
    int: "whole number",
    float: "number",
    bool: "true or false",
}
PARAMETER = re.compile(r":param (\w+):\s*(.*?)(?=:param |\Z)", re.DOTALL)


@dataclasses.dataclass(frozen=True)
class Page:
    """A reference page.

    :param file: file name
    :param title: heading
    :param introduction: text before the sections
    :param kinds: data classes, one section each
    """

    file: str
    title: str
    introduction: str
    kinds: tuple[type[typing.Any], ...]


OBJECTS = Page(
    "OBJECTS.md",
    "Named objects",
    "Operators publish these objects as JSON. A file contains any of `tiers`,"
    " `services`, `teams` and `pools`, each a list; several files are"
    " merged. The whole set is checked before it is published: names and"
    " ranks are unique, every name that an object refers to exists, the"
    " pools of a service are of its kind, and no two teams share a key. A"
    " set contains at most "
    + ", ".join(
        f"{count} {plural}" for plural, count in check.MAX_OBJECTS.items()
    )
    + f"; a team at most {check.MAX_KEYS_PER_TEAM} keys and a service at"
    f" most {check.MAX_CALLS_PER_SERVICE} calls. Names contain letters, digits"
    " and `. _ : / -`.\n\nA path with `..`, an empty segment, or `%`, `;`,"
    " a backslash or a character outside ASCII matches no call and is treated"
    " as non-idempotent, because the service may interpret it as another"
    " path.",
    (
        types.Tier,
        types.Service,
        types.Call,
        types.Team,
        types.Pool,
        types.WantedState,
    ),
)
SETTINGS = Page(
    "SETTINGS.md",
    "Settings",
    "`godwitloft-entry` and `godwitloft-agent` read a JSON file each, named"
    " by `--settings`. An unknown or invalid key is rejected at startup with"
    " the file, the key and the reason, and exit code 2. Addresses are IP"
    " addresses. All defaults are defined in `godwitloft/defaults.py`.\n\nOn"
    " the Lakeshore platform, processes read the TOML file that the platform"
    " writes for them instead. Its table `bounds` has the keys of"
    " [RolloutBounds](#rolloutbounds), with hyphens (`exposure-share`).",
    (
        settings.EntrySettings,
        settings.AgentSettings,
        settings.Listen,
        settings.Token,
        settings.Platform,
        settings.Peer,
        settings.Upstream,
        settings.Tls,
        settings.Log,
        settings.Limits,
        options.RolloutBounds,
    ),
)
PAGES = (OBJECTS, SETTINGS)


def render(page: Page) -> str:
    """Returns the text of a page.

    :param page: the page
    :return: Markdown
    """
    sections = [_render_kind(kind) for kind in page.kinds]
    head = (
        f"# {page.title}\n\n{NOTE}\n\n{page.introduction}\n\n"
        "Bounds of a string or a list are those of its length.\n"
    )
    return "\n".join([head, *sections])


def undocumented_fields(kind: type[typing.Any]) -> tuple[str, ...]:
    """Finds the fields of a data class that its docstring doesn't describe.

    :param kind: the data class
    :return: fields without a description, and described names that are no
        fields
    """
    names = {field.name for field in dataclasses.fields(kind)}
    return tuple(sorted(names ^ _field_descriptions(kind).keys()))


def _render_kind(kind: type[typing.Any]) -> str:
    hints = typing.get_type_hints(kind)
    descriptions = _field_descriptions(kind)
    lines = [
        f"## {kind.__name__}",
        "",
        _summary(kind),
        "",
        "| key | type | default | bounds | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in dataclasses.fields(kind):
        cells = (
            f"`{field.name}`",
            _type_name(hints[field.name]),
            _default(field),
            _bounds(field),
            descriptions.get(field.name, ""),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join([*lines, ""])


def _summary(kind: type[typing.Any]) -> str:
    text = inspect.cleandoc(kind.__doc__ or "")
    return _join_lines(text.split(":param")[0])


def _field_descriptions(kind: type[typing.Any]) -> dict[str, str]:
    descriptions: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        if dataclasses.is_dataclass(base):
            text = inspect.cleandoc(base.__doc__ or "")
            for name, description in PARAMETER.findall(text):
                descriptions[name] = _join_lines(description)
    return descriptions


def _join_lines(text: str) -> str:
    return " ".join(text.replace("``", "`").replace("|", "\\|").split())


def _type_name(kind: typing.Any) -> str:
    origin = typing.get_origin(kind)
    if origin in (typing.Union, builtin_types.UnionType):
        names = [
            "null" if member is type(None) else _type_name(member)
            for member in typing.get_args(kind)
        ]
        return " or ".join(names)
    if origin is tuple:
        return f"list of {_type_name(typing.get_args(kind)[0])}"
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return " or ".join(f"`{_json(member)}`" for member in kind)
    if dataclasses.is_dataclass(kind):
        name = typing.cast(type[typing.Any], kind).__name__
        return f"[{name}](#{name.lower()})"
    return TYPE_NAMES[kind]


def _json(value: typing.Any) -> str:
    if isinstance(value, enum.Enum):
        value = value.value
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def _default(field: dataclasses.Field[typing.Any]) -> str:
    value = field.default
    if value is dataclasses.MISSING:
        return "needed"
    if value is None:
        return "`null`"
    if value == ():
        return "`[]`"
    if dataclasses.is_dataclass(value):
        return "its defaults"
    return f"`{_json(value)}`"


def _bounds(field: dataclasses.Field[typing.Any]) -> str:
    low = field.metadata.get("min")
    high = field.metadata.get("max")
    if low is None and high is None:
        return ""
    if high is None:
        return f"from {low}"
    return f"{low if low is not None else 0} to {high}"


def main(arguments: typing.Sequence[str]) -> None:
    """Writes all pages.

    :param arguments: the directory to write to
    """
    directory = pathlib.Path(arguments[0])
    directory.mkdir(exist_ok=True)
    for page in PAGES:
        (directory / page.file).write_text(render(page), encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
