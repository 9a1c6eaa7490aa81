"""Removes headers that concern only one connection."""

import typing

Header = tuple[bytes, bytes]

HOP_HEADERS: typing.Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def end_to_end(headers: list[Header]) -> list[Header]:
    """Returns the end-to-end headers.

    :param headers: headers as received
    :return: headers to forward
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_HEADERS | named
    return [header for header in headers if header[0] not in dropped]
