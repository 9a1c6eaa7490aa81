"""Determines how the end of an HTTP answer is known, and whether it came.

The framing of an answer says where its body ends: at a length, at the last
chunk, or only where the connection ends (RFC 9112, section 6.3). In the last
case, a peer that fails may look as if it had finished. A stream of events
gives one more sign: each event ends with an empty line, so a stream that ends
elsewhere has been cut.
"""

import dataclasses
import enum
import re
import typing

Header = tuple[bytes, bytes]

NO_CONTENT_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200
SUCCESS_STATUSES = range(200, 300)
# An empty line after LF or CRLF, or after CR alone.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
EVENT_END = re.compile(b"|".join(EVENT_ENDS))
LONGEST_EVENT_END = max(len(end) for end in EVENT_ENDS)
EVENT_CUT = "event_cut"
STREAM_EMPTY = "stream_empty"


class Framing(enum.Enum):
    """How the end of an answer's body is marked."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True)
class UnmarkedEnd:
    """Where an attempt ended a stream without a mark.

    :param after_event: id of the last event with one, None if none had one
    :param upstream_id: id of the upstream
    """

    after_event: bytes | None
    upstream_id: str


def framing(
    method: bytes, status: int, headers: typing.Iterable[Header]
) -> Framing:
    """Returns how the end of an answer's body is marked.

    :param method: method of the request
    :param status: HTTP status of the answer
    :param headers: headers of the answer, names in lower case
    :return: the framing
    """
    if method == b"HEAD" or status in NO_CONTENT_STATUSES:
        return Framing.NO_BODY
    if status < FIRST_FINAL_STATUS:
        return Framing.NO_BODY
    if method == b"CONNECT" and status in SUCCESS_STATUSES:
        return Framing.NO_BODY
    names = {name for name, _value in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CLOSE


def last_event_end(data: bytes) -> int:
    """Returns where the last whole event in a part of a stream ends.

    :param data: bytes of the stream, from the beginning of an event
    :return: index after the event's empty line, 0 if no event has ended
    """
    found = ((data.rfind(end), len(end)) for end in EVENT_ENDS)
    return max(at + length if at >= 0 else 0 for at, length in found)


class BodyEnd:
    """Decides whether a body whose framing has ended is whole.

    It sees every byte of the body, in parts of any size.

    :param framing: how the end of the body is marked
    :param is_stream: whether the body is a stream of events
    """

    def __init__(self, framing: Framing, is_stream: bool) -> None:
        self.framing = framing
        self.is_stream = is_stream
        self.received = 0
        # Last bytes of the body, enough to hold the end of an event.
        self.tail = b""

    def feed(self, data: bytes) -> None:
        """Records a part of the body.

        :param data: the received bytes
        """
        self.received += len(data)
        if not self.is_stream:
            return
        if len(data) >= LONGEST_EVENT_END:
            self.tail = data[-LONGEST_EVENT_END:]
        else:
            self.tail = (self.tail + data)[-LONGEST_EVENT_END:]

    @property
    def inside_event(self) -> bool:
        """Whether an event of a stream has begun and has not ended."""
        return bool(self.tail) and not self.tail.endswith(EVENT_ENDS)

    def defect(self) -> str:
        """Returns why the body isn't whole, although its framing has ended.

        A stream without any event counts as cut if only the end of the
        connection marks its end: an upstream that fails before its first
        event looks the same.

        :return: short name for logs, empty if nothing shows a defect
        """
        if not self.is_stream:
            return ""
        if self.inside_event:
            return EVENT_CUT
        if self.framing is Framing.CLOSE and not self.received:
            return STREAM_EMPTY
        return ""
