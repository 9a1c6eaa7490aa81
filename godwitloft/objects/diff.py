"""Tells how two sets of objects differ, object by object and field by field.

Only leaves are compared: a change of the wanted version of a pool shows as
``wanted.version``, not as the whole pool. Lists are compared as a whole.
"""

import dataclasses
import enum
import typing

from godwitloft.objects import canonical
from godwitloft.objects import parse
from godwitloft.objects import types


class Action(enum.Enum):
    """What happened to an object."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """One field that differs.

    :param field: dotted path of the field
    :param before: JSON value before; None when it wasn't there
    :param after: JSON value after; None when it isn't there
    """

    field: str
    before: typing.Any
    after: typing.Any


@dataclasses.dataclass(frozen=True)
class ObjectChange:
    """One object that differs.

    :param action: what happened to it
    :param kind: ``tier``, ``service``, ``team`` or ``pool``
    :param object: name of the object
    :param fields: the fields that differ; empty unless it was changed
    """

    action: Action
    kind: str
    object: str
    fields: tuple[FieldChange, ...] = ()


def diff(
    before: types.ObjectSet, after: types.ObjectSet
) -> tuple[ObjectChange, ...]:
    """Compares two sets.

    :param before: a set without duplicate names
    :param after: a set without duplicate names
    :return: the changes by kind and, in each kind, by name
    """
    return tuple(
        change
        for plural in parse.KINDS
        for change in _diff_kind(
            parse.singular(plural),
            {member.name: member for member in getattr(before, plural)},
            {member.name: member for member in getattr(after, plural)},
        )
    )


def _diff_kind(
    kind: str,
    before: typing.Mapping[str, typing.Any],
    after: typing.Mapping[str, typing.Any],
) -> typing.Iterator[ObjectChange]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield ObjectChange(Action.ADDED, kind, name)
        elif name not in after:
            yield ObjectChange(Action.REMOVED, kind, name)
        elif before[name] != after[name]:
            fields = _diff_fields(before[name], after[name])
            yield ObjectChange(Action.CHANGED, kind, name, fields)


def _diff_fields(before: object, after: object) -> tuple[FieldChange, ...]:
    before_leaves = dict(_leaves(canonical.to_plain(before), ""))
    after_leaves = dict(_leaves(canonical.to_plain(after), ""))
    return tuple(
        FieldChange(field, before_leaves.get(field), after_leaves.get(field))
        for field in sorted(before_leaves.keys() | after_leaves.keys())
        if before_leaves.get(field) != after_leaves.get(field)
    )


def _leaves(
    value: typing.Any, path: str
) -> typing.Iterator[tuple[str, typing.Any]]:
    if not isinstance(value, dict):
        yield path, value
        return
    for name, member in value.items():
        yield from _leaves(member, f"{path}.{name}" if path else name)
