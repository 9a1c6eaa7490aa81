"""Canonical encoding of a set of objects, and its hash.

Two sets with the same objects have the same encoding, whatever the order of
their files. All fields are written, including those at their defaults, so
that a published set keeps its meaning when a later version changes a
default.
"""

import dataclasses
import enum
import hashlib
import json
import typing

from godwitloft.objects import parse
from godwitloft.objects import types


def encode(objects: types.ObjectSet) -> bytes:
    """Returns the canonical JSON of a set.

    :param objects: the set
    :return: ASCII JSON with sorted keys and objects sorted by name
    """
    ordered = {
        plural: sorted(
            getattr(objects, plural), key=lambda member: member.name
        )
        for plural in parse.KINDS
    }
    return encode_value(ordered).encode("ascii")


def encode_value(value: object) -> str:
    """Returns the canonical JSON of an object or of part of one.

    :param value: a data class or a JSON value
    :return: JSON text without spaces
    """
    return json.dumps(
        value, default=_plain, sort_keys=True, separators=(",", ":")
    )


def to_plain(value: object) -> typing.Any:
    """Returns an object as plain JSON values.

    :param value: a data class or a JSON value
    :return: dictionaries, lists, strings, numbers
    """
    return json.loads(encode_value(value))


def hash_of(content: bytes) -> str:
    """Returns the hash that names a snapshot.

    :param content: canonical JSON
    :return: its SHA-256, hexadecimal
    """
    return hashlib.sha256(content).hexdigest()


def decode(content: bytes, where: str = "snapshot") -> types.ObjectSet:
    """Decodes the set that a snapshot contains.

    :param content: canonical JSON
    :param where: name of the snapshot for error messages
    :return: the set
    :raises errors.ObjectsError: when the content is not a valid set
    """
    return parse.from_bytes(content, where)


def _plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return vars(value)
    raise TypeError(f"{value!r} can't be written as JSON")
