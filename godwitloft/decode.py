"""Decodes JSON values into frozen data classes with precise errors.

Settings files, published objects and platform rows share this code, so
that every error is reported in the same form: file or object, key, value
and what was expected.
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


Decoder = typing.Callable[[object], typing.Any]


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
        location = f"{where}: key {key!r}" if key else where
        super().__init__(f"{location}: {reason}")


def nearest(name: str, known: typing.Iterable[str]) -> str:
    """Returns a hint with the known name that is most similar to a name.

    :param name: an unknown name
    :param known: all known names
    :return: ``; did you mean 'x'?`` or an empty string
    """
    matches = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def show(value: object) -> str:
    """Formats a value for an error message.

    Long values are truncated, so that input can't make messages large.

    :param value: any JSON value
    :return: its ``repr``, at most :data:`MAX_SHOWN_CHARACTERS` long plus
        an ellipsis
    """
    try:
        text = repr(value)
    except RecursionError:
        return "a deeply nested value"
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


def parse_json(content: bytes, where: str, max_bytes: int) -> object:
    """Parses JSON text more strictly than the standard module.

    A duplicate key in an object is refused: one of its values would
    silently be lost. So are ``NaN`` and the infinities, which are not JSON.

    :param content: the text in UTF-8
    :param where: name of the file or input, for the error
    :param max_bytes: maximum length of the text
    :return: the decoded JSON value
    :raises DecodeError: if the text is too long or not valid JSON
    """
    if len(content) > max_bytes:
        raise DecodeError(
            where, "", f"{len(content)} bytes is above {max_bytes}"
        )

    def build(pairs: list[tuple[str, object]]) -> dict[str, object]:
        members = dict(pairs)
        if len(members) < len(pairs):
            names = [name for name, _ in pairs]
            repeated = next(name for name in names if names.count(name) > 1)
            raise DecodeError(where, repeated, "is duplicated in one object")
        return members

    def refuse(constant: str) -> None:
        raise DecodeError(where, "", f"{constant} is not JSON")

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


def load_json(content: str | bytes) -> typing.Any:
    """Parses JSON that another process may have written.

    :param content: any text or bytes
    :return: the value
    :raises ValueError: if it isn't JSON, or too deeply nested to be read
    """
    try:
        return json.loads(content)
    except RecursionError as error:
        raise ValueError("is nested too deeply") from error


def decode_json(
    kind: typing.Any, content: str | bytes, where: str
) -> typing.Any:
    """Decodes the JSON text of a value.

    :param kind: the target type
    :param content: any text or bytes
    :param where: name of the object or row, for the error
    :return: the decoded value
    :raises DecodeError: if it isn't JSON of that type
    """
    try:
        value = load_json(content)
    except ValueError as error:
        raise DecodeError(where, "", f"is not JSON: {error}") from error
    return decode(kind, value, where)


def decode(
    kind: typing.Any, value: object, where: str, key: str = ""
) -> typing.Any:
    """Turns a JSON value into a value of a type.

    Data classes, enums, ``tuple[X, ...]``, ``dict[str, X]``, optional types
    and the plain JSON types are supported. A field may set
    ``metadata={"min": n, "max": n}``: bounds on a number or on the length of
    a string or list.

    :param kind: the target type
    :param value: value returned by the JSON parser
    :param where: name of the object or file, for the error
    :param key: dotted path of the value inside it, for the error
    :return: the decoded value
    :raises DecodeError: if the value doesn't fit the type
    """
    try:
        return _decoder_for(kind)(value)
    except _Mismatch as mismatch:
        steps = [key, *reversed(mismatch.steps)]
        path = functools.reduce(_join, steps)
        raise DecodeError(where, path, mismatch.reason) from None


class _Mismatch(Exception):
    # Each enclosing decoder appends its key while the exception propagates,
    # innermost first, so that only errors have the cost of building a path.

    def __init__(self, reason: str, *steps: str) -> None:
        super().__init__(reason)
        self.reason = reason
        self.steps = list(steps)


@functools.cache
def _decoder_for(kind: typing.Any) -> Decoder:
    origin = typing.get_origin(kind)
    if kind is typing.Any or kind is object:
        return lambda value: value
    if dataclasses.is_dataclass(kind):
        return _dataclass_decoder(kind)
    if origin in (typing.Union, types.UnionType):
        return _union_decoder(kind)
    if origin is tuple:
        return _tuple_decoder(kind)
    if origin is dict:
        return _dict_decoder(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _enum_decoder(kind)
    return _scalar_decoder(kind)


def _dataclass_decoder(kind: typing.Any) -> Decoder:
    hints = typing.get_type_hints(kind)
    fields = dataclasses.fields(kind)
    decoders = {
        field.name: _bounded_decoder(hints[field.name], field.metadata)
        for field in fields
    }
    required = [field.name for field in fields if not _has_default(field)]

    def decode_members(value: object) -> typing.Any:
        if not isinstance(value, dict):
            raise _Mismatch(f"{show(value)} is not an object")
        arguments = {}
        for name, member in value.items():
            decoder = decoders.get(name)
            if decoder is None:
                hint = nearest(name, decoders)
                raise _Mismatch(f"unknown key{hint}", show(name)[1:-1])
            try:
                arguments[name] = decoder(member)
            except _Mismatch as mismatch:
                mismatch.steps.append(name)
                raise
        for name in required:
            if name not in arguments:
                raise _Mismatch("is missing", name)
        return kind(**arguments)

    return decode_members


def _has_default(field: dataclasses.Field[typing.Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _bounded_decoder(
    kind: typing.Any, metadata: typing.Mapping[str, typing.Any]
) -> Decoder:
    decoder = _decoder_for(kind)
    low = metadata.get("min")
    high = metadata.get("max")
    if low is None and high is None:
        return decoder

    def decode_bounded(value: object) -> typing.Any:
        decoded = decoder(value)
        if decoded is None:
            return None
        sized = isinstance(decoded, str | tuple | dict)
        size = len(decoded) if sized else decoded
        what = "length" if sized else "value"
        if low is not None and size < low:
            raise _Mismatch(f"{what} {show(size)} is below {low}")
        if high is not None and size > high:
            raise _Mismatch(f"{what} {show(size)} is above {high}")
        return decoded

    return decode_bounded


def _union_decoder(kind: typing.Any) -> Decoder:
    members = typing.get_args(kind)
    optional = type(None) in members
    member = next(arg for arg in members if arg is not type(None))
    decoder = _decoder_for(member)

    def decode_member(value: object) -> typing.Any:
        if value is None and optional:
            return None
        return decoder(value)

    return decode_member


def _tuple_decoder(kind: typing.Any) -> Decoder:
    decoder = _decoder_for(typing.get_args(kind)[0])

    def decode_members(value: object) -> typing.Any:
        if not isinstance(value, list | tuple):
            raise _Mismatch(f"{show(value)} is not a list")
        decoded: list[typing.Any] = []
        try:
            for member in value:
                decoded.append(decoder(member))
        except _Mismatch as mismatch:
            mismatch.steps.append(f"[{len(decoded)}]")
            raise
        return tuple(decoded)

    return decode_members


def _dict_decoder(kind: typing.Any) -> Decoder:
    decoder = _decoder_for(typing.get_args(kind)[1])

    def decode_members(value: object) -> typing.Any:
        if not isinstance(value, dict):
            raise _Mismatch(f"{show(value)} is not an object")
        decoded = {}
        for name, member in value.items():
            try:
                decoded[name] = decoder(member)
            except _Mismatch as mismatch:
                mismatch.steps.append(name)
                raise
        return decoded

    return decode_members


def _enum_decoder(kind: type[enum.Enum]) -> Decoder:
    members = {member.value: member for member in kind}
    names = ", ".join(repr(value) for value in members)

    def decode_member(value: object) -> enum.Enum:
        if isinstance(value, str) and value in members:
            return members[value]
        raise _Mismatch(f"{show(value)} is not one of {names}")

    return decode_member


def _scalar_decoder(kind: type[typing.Any]) -> Decoder:
    expected = {
        str: "a string",
        int: "a whole number",
        bool: "true or false",
        float: "a number",
    }.get(kind, f"of type {kind.__name__}")

    def decode_scalar(value: object) -> typing.Any:
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            try:
                return float(value)
            except OverflowError:
                raise _Mismatch(f"{show(value)} is too large") from None
        raise _Mismatch(f"{show(value)} is not {expected}")

    return decode_scalar


def _join(key: str, step: str) -> str:
    if not key or step.startswith("["):
        return key + step
    return f"{key}.{step}"
