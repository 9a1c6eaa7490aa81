"""Determines how the end of an HTTP answer is known, and whether it came.

The framing of an answer says where its body ends: at a length, at the last
chunk, or only where the connection ends (RFC 9112, section 6.3). In the last
case, a peer that fails may look as if it had finished. A stream of events
gives one more sign: each event ends with an empty line, so a stream that ends
elsewhere has been cut.
"""

import enum
import typing

Header = tuple[bytes, bytes]

NO_CONTENT_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200
SUCCESS_STATUSES = range(200, 300)
# An empty line after LF or CRLF, or after CR alone.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
LONGEST_EVENT_END = max(len(end) for end in EVENT_ENDS)


class Framing(enum.Enum):
    """How the end of an answer's body is marked."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


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


class EventBoundary:
    """Knows whether a stream of events is between two events.

    The stream may arrive in parts of any size.
    """

    def __init__(self) -> None:
        # Last bytes of the stream, enough to hold the end of an event.
        self.tail = b""

    def feed(self, data: bytes) -> None:
        """Records a part of the stream.

        :param data: the received bytes
        """
        if len(data) >= LONGEST_EVENT_END:
            self.tail = data[-LONGEST_EVENT_END:]
        else:
            self.tail = (self.tail + data)[-LONGEST_EVENT_END:]

    @property
    def inside_event(self) -> bool:
        """Whether the last event has begun and has not ended."""
        return bool(self.tail) and not self.tail.endswith(EVENT_ENDS)
