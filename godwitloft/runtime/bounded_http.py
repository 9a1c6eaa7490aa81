"""HTTP requests and connections with bounds, for every HTTP server.

Twisted writes large bodies, and those of no announced length, to a file.
Instances have no disks, so bodies stay in memory here, up to a bound.
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
    """A request whose body may not be larger than a bound.

    What is too much is discarded, so that the client may read the refusal;
    a client that goes on sending is cut off.
    """

    body_bound: BodyBound
    max_body_bytes = 0
    received_bytes = 0
    too_large = False

    def gotLength(self, length: int | None) -> None:
        """Checks the announced length.

        :param length: in bytes, or None when it isn't announced
        """
        self.content = io.BytesIO()
        self.max_body_bytes = type(self).body_bound(self)
        if length is not None and length > self.max_body_bytes:
            self.too_large = True

    def handleContentChunk(self, data: bytes) -> None:
        """Keeps a part of the body unless there is too much.

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
    """Accepts connections up to a bound and closes those above it.

    :param factory: serves the connections
    :param max_connections: open at once
    :param refused: called for each connection above the bound
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

        :param addr: of the peer
        :return: the protocol, or None to close the connection
        """
        if len(self.protocols) >= self.max_connections:
            self.refused()
            return None
        return super().buildProtocol(addr)


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What a server accepts.

    :param body_bytes: request, with its headers read, to the largest body
        that it may have
    :param connections: open at once
    :param header_bytes: request line and all headers of one request
    """

    body_bytes: BodyBound
    connections: int
    header_bytes: int = defaults.HEADER_BYTES


def site(
    resource: typing.Any,
    bounds: Bounds,
    refused: typing.Callable[[], None],
) -> BoundedConnections:
    """Returns what serves a resource on any listening port.

    :param resource: the root resource
    :param bounds: what is accepted
    :param refused: called for each connection above the bound
    :return: a factory of HTTP connections
    """
    request_kind = type(
        "SiteRequest",
        (BoundedRequest,),
        {"body_bound": staticmethod(bounds.body_bytes)},
    )
    channel_kind = type(
        "SiteChannel",
        (http.HTTPChannel,),
        {
            "totalHeadersSize": bounds.header_bytes,
            "MAX_LENGTH": bounds.header_bytes,
        },
    )
    factory = server.Site(
        resource, requestFactory=request_kind, timeout=IDLE_TIMEOUT_S
    )
    factory.protocol = channel_kind  # type: ignore[method-assign]
    return BoundedConnections(factory, bounds.connections, refused)
