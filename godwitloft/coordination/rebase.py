"""Rebases a change of a set of named objects onto a newer set.

A set is a frozen data class whose fields are tuples of objects with a
``name``. An object is identified by the field that holds it and its name.
"""

import dataclasses
import typing

ObjectKey = tuple[str, str]
Items = dict[ObjectKey, typing.Any]


@dataclasses.dataclass(frozen=True)
class Change:
    """One object that differs between two sets.

    :param kind: field of the set, for example ``teams``
    :param name: name of the object
    :param before: the object, or None if it was added
    :param after: the object, or None if it was removed
    """

    kind: str
    name: str
    before: typing.Any
    after: typing.Any

    @property
    def key(self) -> ObjectKey:
        """Kind and name, which identify the object in its set."""
        return (self.kind, self.name)


def items(objects: typing.Any) -> Items:
    """Returns the objects of a set by kind and name.

    :param objects: the set
    :return: the objects by key
    """
    return {
        (field.name, item.name): item
        for field in dataclasses.fields(objects)
        for item in getattr(objects, field.name)
    }


def changes(before: typing.Any, after: typing.Any) -> tuple[Change, ...]:
    """Lists the objects that differ between two sets.

    :param before: the older set
    :param after: the newer set
    :return: one change for each object that differs, sorted by key
    """
    old = items(before)
    new = items(after)
    return tuple(
        Change(*key, before=old.get(key), after=new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    )


def apply(objects: typing.Any, edits: typing.Iterable[Change]) -> typing.Any:
    """Applies changes to a set.

    :param objects: the set
    :param edits: the changes; their ``before`` is ignored
    :return: a new set of the same type
    """
    found = items(objects)
    for change in edits:
        if change.after is None:
            found.pop(change.key, None)
        else:
            found[change.key] = change.after
    by_kind: dict[str, list[typing.Any]] = {
        field.name: [] for field in dataclasses.fields(objects)
    }
    for (kind, _), item in sorted(found.items(), key=lambda pair: pair[0]):
        by_kind[kind].append(item)
    return type(objects)(
        **{kind: tuple(members) for kind, members in by_kind.items()}
    )


def conflicting_keys(
    mine: typing.Iterable[Change], theirs: typing.Iterable[Change]
) -> tuple[ObjectKey, ...]:
    """Finds the objects that two sides changed differently.

    :param mine: changes of one side
    :param theirs: changes of the other side, from the same base
    :return: keys of the objects, in the order of ``mine``
    """
    others = {change.key: change.after for change in theirs}
    return tuple(
        change.key
        for change in mine
        if change.key in others and others[change.key] != change.after
    )
