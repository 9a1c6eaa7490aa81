"""Compares two sets of objects, object by object and field by field.

Only leaf fields are reported: a new version in the wanted state of a pool is
reported as ``wanted.version``, not as the whole pool. Lists are compared as
a whole.
"""

import dataclasses
import enum
import typing

from godwitloft.objects import canonical
from godwitloft.objects import parse
from godwitloft.objects import types


class Action(enum.Enum):
    """How an object differs between two sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """A field that differs.

    :param field: dotted path of the field
    :param before: JSON value before; None when the field was absent
    :param after: JSON value after; None when the field is absent
    """

    field: str
    before: typing.Any
    after: typing.Any


@dataclasses.dataclass(frozen=True)
class ObjectChange:
    """An object that differs.

    :param action: whether it was added, removed or changed
    :param kind: ``tier``, ``service``, ``team`` or ``pool``
    :param object: name of the object
    :param fields: the fields that differ; empty when it was added or
        removed
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
    :return: the changes, ordered by kind and then by name
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
