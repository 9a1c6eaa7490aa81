"""Limits on request size and connections, for every HTTP server.

Twisted writes large bodies, and those without a content length, to a file.
Instances have no disks, so bodies are kept in memory here, up to a limit.
"""

import dataclasses
import io
import typing

from twisted.internet import interfaces
from twisted.protocols import policies
from twisted.web import http
from twisted.web import server

from godwitloft import defaults

DISCARD_FACTOR = 4
IDLE_TIMEOUT_S = 60

BodyBound = typing.Callable[[server.Request], int]


class BoundedRequest(server.Request):
    """A request whose body may not be larger than a limit.

    Data above the limit is discarded, so that the client can read the
    refusal; the connection of a client that keeps sending is aborted.
    """

    body_bound: BodyBound
    max_body_bytes = 0
    received_bytes = 0
    too_large = False

    def gotLength(self, length: int | None) -> None:
        """Checks the content length.

        :param length: in bytes, or None if it isn't given
        """
        self.content = io.BytesIO()
        self.max_body_bytes = type(self).body_bound(self)
        if length is not None and length > self.max_body_bytes:
            self.too_large = True

    def handleContentChunk(self, data: bytes) -> None:
        """Stores a part of the body unless it exceeds the limit.

        :param data: the part
        """
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes:
            self.too_large = True
        if not self.too_large:
            super().handleContentChunk(data)
        elif self.received_bytes > self.max_body_bytes * DISCARD_FACTOR:
            self.channel.forceAbortClient()


class BoundedConnections(policies.WrappingFactory):
    """Accepts connections up to a limit and closes those above it.

    :param factory: serves the connections
    :param max_connections: maximum number of open connections
    :param refused: called for each connection above the limit
    """

    def __init__(
        self,
        factory: interfaces.IProtocolFactory,
        max_connections: int,
        refused: typing.Callable[[], None],
    ) -> None:
        super().__init__(factory)
        self.max_connections = max_connections
        self.refused = refused

    def buildProtocol(self, addr: interfaces.IAddress | None) -> typing.Any:
        """Returns the protocol of a new connection.

        :param addr: address of the peer
        :return: the protocol, or None to close the connection
        """
        if len(self.protocols) >= self.max_connections:
            self.refused()
            return None
        return super().buildProtocol(addr)


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of a server.

    :param body_bytes: returns the maximum body size of a request whose
        headers were read
    :param connections: maximum number of open connections
    :param header_bytes: maximum size of the request line and all headers
    """

    body_bytes: BodyBound
    connections: int
    header_bytes: int = defaults.HEADER_BYTES


def site(
    resource: typing.Any,
    bounds: Bounds,
    refused: typing.Callable[[], None],
) -> BoundedConnections:
    """Returns a factory that serves a resource within limits.

    :param resource: the root resource
    :param bounds: limits of the server
    :param refused: called for each connection above the limit
    :return: a factory of HTTP connections
    """
    request_class = type(
        "SiteRequest",
        (BoundedRequest,),
        {"body_bound": staticmethod(bounds.body_bytes)},
    )
    channel_class = type(
        "SiteChannel",
        (http.HTTPChannel,),
        {
            "totalHeadersSize": bounds.header_bytes,
            "MAX_LENGTH": bounds.header_bytes,
        },
    )
    factory = server.Site(
        resource, requestFactory=request_class, timeout=IDLE_TIMEOUT_S
    )
    factory.protocol = channel_class  # type: ignore[method-assign]
    return BoundedConnections(factory, bounds.connections, refused)
