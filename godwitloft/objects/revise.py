"""Sets fields of one object, for ``revise team/x --set weight=3``.

A field is named by its dotted path, a list member by its index, for example
``calls.0.idempotent``. A value is parsed as JSON; anything that is not JSON
is used as a string, so that words need no quotes inside those of the shell.
"""

import dataclasses
import json
import typing

from godwitloft import decode
from godwitloft.objects import canonical
from godwitloft.objects import errors
from godwitloft.objects import parse
from godwitloft.objects import types

MAX_ASSIGNMENTS = 100


@dataclasses.dataclass(frozen=True)
class ObjectName:
    """Identifies one object of a set.

    :param plural: ``tiers``, ``services``, ``teams`` or ``pools``
    :param name: name of the object
    """

    plural: str
    name: str

    def __str__(self) -> str:
        """Returns the command-line form, for example ``team/x``."""
        return f"{parse.singular(self.plural)}/{self.name}"


def parse_name(text: str) -> ObjectName:
    """Parses the name of an object.

    :param text: for example ``team/roasters``; the name may contain slashes
    :return: the kind and the name
    :raises errors.ObjectsError: when the kind is unknown or a part missing
    """
    kind, slash, name = text.partition("/")
    plurals = {parse.singular(plural): plural for plural in parse.KINDS}
    if not slash or not name:
        raise errors.ObjectsError(
            f"object {decode.show(text)}: is not of the form KIND/NAME"
        )
    if kind not in plurals:
        hint = decode.nearest(kind, plurals)
        raise errors.ObjectsError(
            f"object {decode.show(text)}: {decode.show(kind)} is not one of"
            f" {', '.join(plurals)}{hint}"
        )
    return ObjectName(plurals[kind], name)


def revise(
    objects: types.ObjectSet,
    target: ObjectName,
    assignments: typing.Sequence[str],
) -> types.ObjectSet:
    """Sets fields of one object.

    :param objects: the set, which is not modified
    :param target: the object to change
    :param assignments: each ``field=value``; later ones take precedence
    :return: the set with the changed object, not yet checked
    :raises errors.ObjectsError: naming the invalid object and field
    """
    if len(assignments) > MAX_ASSIGNMENTS:
        raise errors.ObjectsError(
            f"object '{target}': {len(assignments)} assignments exceed the"
            f" limit of {MAX_ASSIGNMENTS}"
        )
    revised = find(objects, target)
    for assignment in assignments:
        revised = _assign(revised, target, assignment)
    members = tuple(
        revised if member.name == target.name else member
        for member in getattr(objects, target.plural)
    )
    return dataclasses.replace(objects, **{target.plural: members})


def find(objects: types.ObjectSet, target: ObjectName) -> typing.Any:
    """Returns one object of a set.

    :param objects: the set
    :param target: the object to find
    :return: the object
    :raises errors.ObjectsError: when it doesn't exist, with the closest name
    """
    members = {
        member.name: member for member in getattr(objects, target.plural)
    }
    if target.name not in members:
        hint = decode.nearest(target.name, members)
        kind = parse.singular(target.plural)
        raise errors.ObjectsError(
            f"{kind} {decode.show(target.name)} doesn't exist{hint}"
        )
    return members[target.name]


def _assign(member: typing.Any, target: ObjectName, assignment: str) -> object:
    field, equals, text = assignment.partition("=")
    where = f"object '{target}'"
    if not equals or not field:
        raise errors.ObjectsError(
            f"{where}: {decode.show(assignment)} is not of the form"
            " FIELD=VALUE"
        )
    if field == "name":
        raise errors.ObjectsError(
            f"{where}: key 'name': can't be changed because other objects"
            " refer to it"
        )
    kind = parse.KINDS[target.plural]
    first_error: decode.DecodeError | None = None
    for value in _candidate_values(text, where):
        try:
            changed = _set_field(
                canonical.to_plain(member), field, value, where
            )
            return decode.decode(kind, changed, where)
        except decode.DecodeError as error:
            first_error = first_error or error
    raise errors.ObjectsError(str(first_error)) from first_error


def _candidate_values(text: str, where: str) -> typing.Iterator[object]:
    # A version such as 7 is valid JSON but must be a string. The first value
    # that the field's type accepts is used.
    try:
        yield decode.parse_json(text.encode(), where, parse.MAX_FILE_BYTES)
    except decode.DecodeError:
        pass
    yield text


def _set_field(
    value: typing.Any, field: str, new: object, where: str
) -> object:
    parent = value
    *keys, last = field.split(".")
    for key in keys:
        parent = _child(parent, key, field, where)
    if isinstance(parent, list):
        parent[_parse_index(parent, last, field, where)] = new
    elif isinstance(parent, dict):
        parent[last] = new
    else:
        raise decode.DecodeError(where, field, "doesn't exist")
    return value


def _child(parent: typing.Any, key: str, field: str, where: str) -> object:
    if isinstance(parent, list):
        return parent[_parse_index(parent, key, field, where)]
    if not isinstance(parent, dict) or key not in parent:
        raise decode.DecodeError(where, field, "doesn't exist")
    if parent[key] is None:
        # Setting a field of an optional object that is null creates it.
        parent[key] = {}
    return parent[key]


def _parse_index(
    parent: list[typing.Any], key: str, field: str, where: str
) -> int:
    if not key.isascii() or not key.isdigit() or len(key) > 9:
        raise decode.DecodeError(
            where, field, f"{decode.show(key)} is not a list index"
        )
    index = int(key)
    if index >= len(parent):
        extent = f"the last is {len(parent) - 1}"
        if not parent:
            extent = "the list is empty"
        raise decode.DecodeError(
            where, field, f"index {index} is out of range; {extent}"
        )
    return index


def dump(value: object) -> str:
    """Formats an object for operators.

    :param value: a data class or JSON value
    :return: indented JSON
    """
    return json.dumps(canonical.to_plain(value), indent=2)
