"""Decodes JSON values into frozen data classes, naming what is wrong.

Settings files, published objects and platform rows share this code, so
that each mistake is reported in the same words: where it is, which key,
which value and what was expected.
"""

import dataclasses
import difflib
import enum
import functools
import json
import types
import typing

from godwitloft import errors

MAX_SHOWN_CHARACTERS = 200


class DecodeError(errors.GodwitloftError):
    """A JSON value doesn't fit the data class it is decoded into.

    :param where: the object or file, for example ``team 'roasters'``
    :param key: dotted path of the key inside it, empty for the whole
    :param reason: what is wrong, with the value
    """

    def __init__(self, where: str, key: str, reason: str) -> None:
        self.where = where
        self.key = key
        self.reason = reason
        place = f"{where}: key {key!r}" if key else where
        super().__init__(f"{place}: {reason}")


def nearest(name: str, known: typing.Iterable[str]) -> str:
    """Returns a hint with the known name that looks most like a name.

    :param name: the name that isn't known
    :param known: names that are
    :return: ``; did you mean 'x'?`` or an empty string
    """
    found = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {found[0]!r}?" if found else ""


def show(value: object) -> str:
    """Returns a value as an error message quotes it.

    Input may be large, and an error message must not be.

    :param value: any JSON value
    :return: its ``repr``, cut to a bounded length
    """
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


def parse_json(content: bytes, where: str, max_bytes: int) -> object:
    """Parses JSON text more strictly than the standard module.

    A key that stands twice in an object is refused: one of its values would
    silently be lost. So are ``NaN`` and the infinities, which are no JSON.

    :param content: the text in UTF-8
    :param where: name of the file or input, for the error
    :param max_bytes: refuse what is longer
    :return: what the text holds
    :raises DecodeError: when it is too long or no JSON
    """
    if len(content) > max_bytes:
        raise DecodeError(
            where, "", f"{len(content)} bytes is above {max_bytes}"
        )

    def build(pairs: list[tuple[str, object]]) -> dict[str, object]:
        members = dict(pairs)
        if len(members) < len(pairs):
            names = [name for name, _ in pairs]
            again = next(name for name in names if names.count(name) > 1)
            raise DecodeError(where, again, "stands twice in one object")
        return members

    def refuse(constant: str) -> None:
        raise DecodeError(where, "", f"{constant} is no JSON")

    try:
        return json.loads(
            content.decode("utf-8"),
            object_pairs_hook=build,
            parse_constant=refuse,
        )
    except UnicodeDecodeError as error:
        raise DecodeError(where, "", f"is not UTF-8: {error}") from error
    except RecursionError as error:
        raise DecodeError(where, "", "is nested too deeply") from error
    except ValueError as error:
        raise DecodeError(where, "", f"is not JSON: {error}") from error


def decode(
    kind: typing.Any, value: object, where: str, key: str = ""
) -> typing.Any:
    """Turns a JSON value into a value of a type.

    Data classes, enums, ``tuple[X, ...]``, ``dict[str, X]``, optional types
    and the plain JSON types are supported. A field may set
    ``metadata={"min": n, "max": n}``: bounds on a number or on the length of
    a string or list.

    :param kind: the type wanted
    :param value: what the JSON parser returned
    :param where: name of the object or file, for the error
    :param key: dotted path of the value inside it, for the error
    :return: the decoded value
    :raises DecodeError: when the value doesn't fit
    """
    origin = typing.get_origin(kind)
    if kind is typing.Any or kind is object:
        return value
    if dataclasses.is_dataclass(kind):
        return _decode_dataclass(kind, value, where, key)
    if origin in (typing.Union, types.UnionType):
        return _decode_union(kind, value, where, key)
    if origin is tuple:
        return _decode_tuple(kind, value, where, key)
    if origin is dict:
        return _decode_dict(kind, value, where, key)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _decode_enum(kind, value, where, key)
    return _decode_scalar(kind, value, where, key)


def check_bounds(
    value: object,
    metadata: typing.Mapping[str, typing.Any],
    where: str,
    key: str,
) -> None:
    """Checks a value against the bounds in its field's metadata.

    :param value: the decoded value
    :param metadata: may hold ``min`` and ``max``
    :param where: name of the object or file, for the error
    :param key: dotted path of the value, for the error
    :raises DecodeError: when the value lies outside
    """
    if value is None:
        return
    sized = isinstance(value, str | tuple | dict)
    size = len(value) if sized else value  # type: ignore[arg-type]
    what = "length" if sized else "value"
    low = metadata.get("min")
    high = metadata.get("max")
    if low is not None and size < low:
        raise DecodeError(where, key, f"{what} {size!r} is below {low}")
    if high is not None and size > high:
        raise DecodeError(where, key, f"{what} {size!r} is above {high}")


def _decode_dataclass(
    kind: typing.Any, value: object, where: str, key: str
) -> typing.Any:
    if not isinstance(value, dict):
        raise DecodeError(where, key, f"{show(value)} is not an object")
    fields, hints = _describe(kind)
    for name in value:
        if name not in fields:
            hint = nearest(name, fields)
            path = _join(key, show(name)[1:-1])
            raise DecodeError(where, path, f"unknown key{hint}")
    arguments = {}
    for name, field in fields.items():
        path = _join(key, name)
        if name not in value:
            if _has_default(field):
                continue
            raise DecodeError(where, path, "is missing")
        arguments[name] = decode(hints[name], value[name], where, path)
        check_bounds(arguments[name], field.metadata, where, path)
    return kind(**arguments)


@functools.cache
def _describe(
    kind: typing.Any,
) -> tuple[dict[str, dataclasses.Field[typing.Any]], dict[str, typing.Any]]:
    # Resolving type hints costs more than all the rest of decoding.
    fields = {field.name: field for field in dataclasses.fields(kind)}
    return fields, typing.get_type_hints(kind)


def _has_default(field: dataclasses.Field[typing.Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _decode_union(
    kind: typing.Any, value: object, where: str, key: str
) -> typing.Any:
    members = typing.get_args(kind)
    if value is None and type(None) in members:
        return None
    for member in members:
        if member is not type(None):
            return decode(member, value, where, key)
    raise DecodeError(where, key, f"{show(value)} is not null")


def _decode_tuple(
    kind: typing.Any, value: object, where: str, key: str
) -> typing.Any:
    if not isinstance(value, list | tuple):
        raise DecodeError(where, key, f"{show(value)} is not a list")
    member = typing.get_args(kind)[0]
    return tuple(
        decode(member, one, where, f"{key}[{index}]")
        for index, one in enumerate(value)
    )


def _decode_dict(
    kind: typing.Any, value: object, where: str, key: str
) -> typing.Any:
    if not isinstance(value, dict):
        raise DecodeError(where, key, f"{show(value)} is not an object")
    member = typing.get_args(kind)[1]
    return {
        name: decode(member, one, where, _join(key, name))
        for name, one in value.items()
    }


def _decode_enum(
    kind: type[enum.Enum], value: object, where: str, key: str
) -> enum.Enum:
    for member in kind:
        if member.value == value:
            return member
    names = ", ".join(repr(member.value) for member in kind)
    raise DecodeError(where, key, f"{show(value)} is not one of {names}")


def _decode_scalar(
    kind: typing.Any, value: object, where: str, key: str
) -> typing.Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        expected = {str: "a string", int: "a whole number"}.get(
            kind, {bool: "true or false", float: "a number"}.get(kind, "")
        )
        raise DecodeError(where, key, f"{show(value)} is not {expected}")
    return value


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
