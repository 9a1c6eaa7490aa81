"""Encodes and decodes the messages that links carry.

Messages use thrift's compact protocol, through its C extension where that
is installed. A message that doesn't decode closes the link, since nothing
after it in the stream could be trusted.
"""

import typing

from thrift import Thrift
from thrift import TSerialization
from thrift.protocol import TCompactProtocol

from godwitloft import errors
from godwitloft.links.generated.messages import ttypes

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1_000_000
)
_SPEC: typing.Any = vars(ttypes.Message)["thrift_spec"]
_FIELDS: tuple[str, ...] = tuple(spec[2] for spec in _SPEC if spec)

# Any of the structs that ttypes.Message may hold.
Body = typing.Any


class LinkError(errors.GodwitloftError):
    """A link failed or received an invalid message."""


def encode(**field: Body) -> bytes:
    """Encodes one message.

    :param field: exactly one field of the ``Message`` union with its body
    :return: the bytes of one frame, without its length
    """
    return TSerialization.serialize(ttypes.Message(**field), _FACTORY)


def decode(frame: bytes) -> tuple[str, Body]:
    """Decodes one frame.

    :param frame: bytes of one frame, without its length
    :return: the name of the field that is set, and its body
    :raises LinkError: if the frame isn't one valid message
    """
    message = ttypes.Message()
    try:
        TSerialization.deserialize(message, frame, _FACTORY)
    except (Thrift.TException, EOFError, TypeError, ValueError) as error:
        raise LinkError(f"frame does not decode: {error}") from error
    for name in _FIELDS:
        body = getattr(message, name)
        if body is not None:
            _validate(name, body)
            return name, body
    raise LinkError("frame contains no known message")


def _validate(name: str, body: Body) -> None:
    try:
        body.validate()
    except Thrift.TException as error:
        raise LinkError(f"message {name!r} is incomplete: {error}") from error
