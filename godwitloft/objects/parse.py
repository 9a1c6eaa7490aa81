"""Reads named objects from JSON files and directories.

A file contains any of ``tiers``, ``services``, ``teams`` and ``pools``, each
a list of objects. Several files are merged, so that each kind of object, or
each team, may have its own file.
"""

import pathlib
import typing

from godwitloft import decode
from godwitloft.objects import errors
from godwitloft.objects import types

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_FILES = 1000

KINDS: typing.Mapping[str, type[typing.Any]] = {
    "tiers": types.Tier,
    "services": types.Service,
    "teams": types.Team,
    "pools": types.Pool,
}


def singular(plural: str) -> str:
    """Returns the name of one object of a kind.

    :param plural: a key of :data:`KINDS`
    :return: for example ``team`` for ``teams``
    """
    return plural.removesuffix("s")


def from_value(value: object, where: str) -> types.ObjectSet:
    """Decodes a set of objects.

    :param value: what the JSON parser returned
    :param where: name of the file or input for error messages
    :return: the objects; references between them are not checked yet
    :raises errors.ObjectsError: naming the invalid object and field
    """
    try:
        return _decode_set(value, where)
    except decode.DecodeError as error:
        raise errors.ObjectsError(str(error)) from error


def from_bytes(content: bytes, where: str) -> types.ObjectSet:
    """Parses JSON text into a set of objects.

    :param content: the text in UTF-8
    :param where: name of the file or input for error messages
    :return: the objects; references between them are not checked yet
    :raises errors.ObjectsError: naming the invalid object and field
    """
    try:
        value = decode.parse_json(content, where, MAX_FILE_BYTES)
    except decode.DecodeError as error:
        raise errors.ObjectsError(str(error)) from error
    return from_value(value, where)


def merge(sets: typing.Iterable[types.ObjectSet]) -> types.ObjectSet:
    """Merges sets of objects.

    An object that is in two of the sets is in the result twice; the check of
    the whole set reports it.

    :param sets: any number of sets
    :return: all their objects
    """
    object_sets = list(sets)
    return types.ObjectSet(
        **{
            plural: tuple(
                member
                for object_set in object_sets
                for member in getattr(object_set, plural)
            )
            for plural in KINDS
        }
    )


def from_files(paths: typing.Iterable[str]) -> types.ObjectSet:
    """Reads and merges files and directories.

    :param paths: files, or directories whose ``*.json`` files are read in
        order of their names, without subdirectories
    :return: all their objects; references between them are not checked
        yet
    :raises errors.ObjectsError: when one can't be read or decoded
    """
    files = [file for path in paths for file in _list_files(path)]
    if len(files) > MAX_FILES:
        raise errors.ObjectsError(
            f"{len(files)} files exceed the limit of {MAX_FILES}"
        )
    return merge(from_bytes(_read(file), str(file)) for file in files)


def _decode_set(value: object, where: str) -> types.ObjectSet:
    if not isinstance(value, dict):
        raise decode.DecodeError(
            where, "", f"{decode.show(value)} is not an object"
        )
    for plural in value:
        if plural not in KINDS:
            hint = decode.nearest(plural, KINDS)
            raise decode.DecodeError(
                where, decode.show(plural)[1:-1], f"unknown key{hint}"
            )
    return types.ObjectSet(
        **{
            plural: _decode_list(plural, value[plural], where)
            for plural in value
        }
    )


def _decode_list(
    plural: str, value: object, where: str
) -> tuple[typing.Any, ...]:
    if not isinstance(value, list):
        raise decode.DecodeError(
            where, plural, f"{decode.show(value)} is not a list"
        )
    kind = KINDS[plural]
    return tuple(
        decode.decode(
            kind, member, f"{where}: {_label(plural, member, index)}"
        )
        for index, member in enumerate(value)
    )


def _label(plural: str, value: object, index: int) -> str:
    name = value.get("name") if isinstance(value, dict) else None
    if isinstance(name, str) and name:
        return f"{singular(plural)} {decode.show(name)}"
    return f"{plural}[{index}]"


def _list_files(path: str) -> list[pathlib.Path]:
    directory = pathlib.Path(path)
    if not directory.is_dir():
        return [directory]
    files = sorted(directory.glob("*.json"))
    if not files:
        raise errors.ObjectsError(f"{path}: contains no *.json file")
    return files


def _read(file: pathlib.Path) -> bytes:
    try:
        with file.open("rb") as stream:
            return stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise errors.ObjectsError(f"{file}: {error.strerror}") from error
