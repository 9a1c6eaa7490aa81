"""Compact differences (deltas) between two snapshots.

A snapshot is canonical JSON: an object of sorted lists of objects that have a
``name``. It is kept split into the text of each object, so that changing one
object doesn't parse or write the thousands of others.
"""

import dataclasses
import json
import typing

from godwitloft import decode as decoding
from godwitloft import errors

Texts = typing.Mapping[str, typing.Mapping[str, str]]


class DeltaError(errors.GodwitloftError):
    """A delta or a snapshot is malformed."""


@dataclasses.dataclass(frozen=True)
class ObjectChange:
    """One object that differs.

    :param kind: name of the list that holds it
    :param name: name of the object
    :param text: its canonical JSON, or None if it was removed
    """

    kind: str
    name: str
    text: str | None


def split(content: bytes) -> Texts:
    """Splits a snapshot into the texts of its objects.

    :param content: canonical JSON
    :return: text by kind and name
    :raises DeltaError: if the snapshot is malformed
    """
    try:
        texts = {
            kind: {item["name"]: _text(item) for item in members}
            for kind, members in decoding.load_json(content).items()
        }
    except _FORMAT_ERRORS as error:
        raise DeltaError(f"malformed snapshot: {error}") from error
    if join(texts) != content:
        raise DeltaError("snapshot isn't canonical")
    return texts


def join(texts: Texts) -> bytes:
    """Joins the texts of objects into a snapshot.

    :param texts: text by kind and name
    :return: canonical JSON
    """
    lists = []
    for kind in sorted(texts):
        members = texts[kind]
        text = ",".join(members[name] for name in sorted(members))
        lists.append(f"{_text(kind)}:[{text}]")
    return ("{" + ",".join(lists) + "}").encode("ascii")


def difference(before: Texts, after: Texts) -> tuple[ObjectChange, ...]:
    """Lists the objects that differ.

    :param before: the older snapshot
    :param after: the newer one
    :return: the changes, sorted by kind and name
    """
    found = []
    for kind in sorted(before.keys() | after.keys()):
        old = before.get(kind, {})
        new = after.get(kind, {})
        if old is new:
            continue
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                found.append(ObjectChange(kind, name, new.get(name)))
    return tuple(found)


def patch(before: Texts, changes: typing.Iterable[ObjectChange]) -> Texts:
    """Applies changes to a snapshot.

    :param before: the older snapshot; it isn't modified, and the result
        shares its unchanged lists
    :param changes: result of :func:`difference`
    :return: the newer snapshot
    """
    after: dict[str, typing.Mapping[str, str]] = dict(before)
    copies: dict[str, dict[str, str]] = {}
    for change in changes:
        members = copies.get(change.kind)
        if members is None:
            members = dict(before.get(change.kind, {}))
            copies[change.kind] = after[change.kind] = members
        if change.text is None:
            members.pop(change.name, None)
        else:
            members[change.name] = change.text
    return after


def compose(
    deltas: typing.Iterable[typing.Iterable[ObjectChange]],
) -> tuple[ObjectChange, ...]:
    """Combines consecutive deltas into one.

    :param deltas: oldest first
    :return: the last change of each object
    """
    last = {
        (change.kind, change.name): change
        for delta in deltas
        for change in delta
    }
    return tuple(last.values())


def encode(changes: typing.Iterable[ObjectChange]) -> bytes:
    """Encodes a delta.

    :param changes: what changed
    :return: JSON that :func:`decode` reads
    """
    kinds: dict[str, list[str]] = {}
    for change in changes:
        text = "null" if change.text is None else change.text
        kinds.setdefault(change.kind, []).append(
            f"{_text(change.name)}:{text}"
        )
    lists = [
        f"{_text(kind)}:{{{','.join(members)}}}"
        for kind, members in kinds.items()
    ]
    return ("{" + ",".join(lists) + "}").encode("ascii")


def decode(content: bytes) -> tuple[ObjectChange, ...]:
    """Decodes a delta.

    :param content: result of :func:`encode`
    :return: what changed
    :raises DeltaError: if it is malformed
    """
    try:
        return tuple(
            ObjectChange(kind, name, None if value is None else _text(value))
            for kind, members in decoding.load_json(content).items()
            for name, value in members.items()
        )
    except _FORMAT_ERRORS as error:
        raise DeltaError(f"malformed delta: {error}") from error


_FORMAT_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
)


def _text(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))
