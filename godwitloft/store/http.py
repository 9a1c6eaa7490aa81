"""Adapter that calls the platform's services over HTTP.

A write that was sent and gets no answer in time may have taken effect; it
fails with ``AnswerLost``.
"""

import base64
import dataclasses
import json
import typing
import urllib.parse

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from godwitloft import decode
from godwitloft import errors
from godwitloft import whole_number
from godwitloft.store import port

MS_PER_S = 1000
DEFAULT_TIMEOUT_MS = 2000
MAX_CONNECTIONS = 8
MAX_VERSION = 2**63 - 1
IDLE_CONNECTION_S = 20
MAX_RESPONSE_BYTES = 2 * port.MAX_OBJECT_BYTES
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
STATUS_RATE_LIMITED = 429
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
TIME_TO_LIVE_HEADER = "X-Time-To-Live-Ms"
EXPECTED_STATUSES = (STATUS_OK, STATUS_CONFLICT)
NOT_SENT_ERRORS = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectingCancelledError,
)
"""Errors that are raised before anything was sent."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response.

    :param status: HTTP status
    :param version: the row's version, 0 if there is none
    :param content: the body
    """

    status: int
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class ListedRow:
    """A row in the listing of a table.

    :param key: key within the table
    :param value: its content in base64
    :param version: its version
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """The response to a listing of a table.

    :param rows: the rows, ordered by key
    """

    rows: tuple[ListedRow, ...]


@dataclasses.dataclass(frozen=True)
class InstanceListing:
    """The response to a listing of instances.

    :param instances: the instances, ordered by name
    """

    instances: tuple[port.Instance, ...]


Send = typing.Callable[
    [str, str, dict[str, str], bytes], defer.Deferred[Response]
]


def platform(
    url: str,
    reactor: typing.Any,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
    requester: typing.Any = None,
) -> port.Platform:
    """Returns a port that calls the platform at a URL.

    :param url: URL of the platform, without a trailing slash
    :param reactor: makes connections and gives timers
    :param timeout_ms: how long to wait for a complete response
    :param requester: sends requests instead of treq, for tests
    :return: the port
    """
    http = requester or treq.client.HTTPClient(_agent(reactor))
    send = _sender(http, url, reactor, timeout_ms)
    return port.Platform(
        read_row=lambda table, key: _read_row(send, table, key),
        write_row=lambda *arguments: _write_row(send, *arguments),
        delete_row=lambda *arguments: _delete_row(send, *arguments),
        list_rows=lambda table, prefix: _list_rows(send, table, prefix),
        read_object=lambda name: _read_object(send, name),
        write_object=lambda name, content: _write_object(send, name, content),
        list_instances=lambda: _list_instances(send),
        read_weights=lambda name: _read_weights(send, name),
        announce_instance=lambda instance, time_to_live_ms: _announce(
            send, instance, time_to_live_ms
        ),
    )


def _agent(reactor: typing.Any) -> client.Agent:
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    # If the pool repeated a DELETE by itself, the second one would find no
    # row, which hides that the first one took effect.
    pool.retryAutomatically = False
    return client.Agent(reactor, pool=pool)


def _sender(
    http: typing.Any,
    url: str,
    reactor: interfaces.IReactorTime,
    timeout_ms: float,
) -> Send:
    def send(
        method: str, path: str, headers: dict[str, str], body: bytes
    ) -> defer.Deferred[Response]:
        is_write = method != "GET" or path.startswith("/weights/")
        answer = defer.ensureDeferred(_request(method, path, headers, body))
        answer.addTimeout(timeout_ms / MS_PER_S, reactor)
        answer.addErrback(_raise_port_error, f"{method} {path}", is_write)
        answer.addCallback(_check_status, f"{method} {path}", is_write)
        return answer

    async def _request(
        method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        received = await http.request(
            method, url + path, headers=headers, data=body or None
        )
        if _length(received) > MAX_RESPONSE_BYTES:
            raise port.InvalidCall(f"{method} {path}: the answer is too long")
        content = await _read_body(received)
        etags = received.headers.getRawHeaders("ETag", [""])
        etag = etags[0].strip('"')
        version = whole_number.parse(etag, MAX_VERSION) or 0
        return Response(received.code, version, content)

    return send


class _BodyReader(protocol.Protocol):
    """Collects the body of a response whose framing marks its end.

    Other bodies are refused: a row cut short would be taken for a whole one.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.result: defer.Deferred[bytes] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:
        self.parts.append(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if reason.check(client.ResponseDone):
            self.result.callback(b"".join(self.parts))
        else:
            self.result.errback(reason)


def _read_body(response: typing.Any) -> defer.Deferred[bytes]:
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.result


def _length(response: typing.Any) -> int:
    return response.length if isinstance(response.length, int) else 0


def _raise_port_error(
    reason: failure.Failure, call: str, is_write: bool
) -> typing.NoReturn:
    if reason.check(errors.GodwitloftError):
        reason.raiseException()
    error_type = type(reason.value).__name__
    message = f"{call}: {error_type}: {reason.getErrorMessage()}"
    if is_write and not reason.check(*NOT_SENT_ERRORS):
        raise port.AnswerLost(message) from reason.value
    raise port.StoreUnavailable(message) from reason.value


def _check_status(response: Response, call: str, is_write: bool) -> Response:
    message = f"{call}: status {response.status}"
    if response.status in EXPECTED_STATUSES:
        return response
    if response.status == STATUS_NOT_FOUND and not is_write:
        return response
    if response.status == STATUS_RATE_LIMITED:
        raise port.RateLimited(message)
    if response.status == STATUS_UNAVAILABLE:
        raise port.StoreUnavailable(message)
    if response.status < STATUS_SERVER_ERROR:
        raise port.InvalidCall(f"{message}: {response.content[:200]!r}")
    if is_write:
        raise port.AnswerLost(message)
    raise port.StoreUnavailable(message)


def _path(*names: str) -> str:
    """Returns a path with names as its segments.

    Names are quoted twice, since servers undo one level of quoting before
    they split the path at slashes.
    """
    return "".join("/" + _quote(_quote(name)) for name in names)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _read_row(
    send: Send, table: str, key: str
) -> defer.Deferred[port.Row | None]:
    def parse(response: Response) -> port.Row | None:
        if response.status == STATUS_NOT_FOUND:
            return None
        return port.Row(key, response.content, response.version)

    return send("GET", _path("tables", table, key), {}, b"").addCallback(parse)


def _write_row(
    send: Send,
    table: str,
    key: str,
    value: bytes,
    version: int,
    time_to_live_ms: int | None,
) -> defer.Deferred[port.Swapped | port.Conflict]:
    headers = _condition(version)
    if time_to_live_ms is not None:
        headers[TIME_TO_LIVE_HEADER] = str(time_to_live_ms)

    def parse(response: Response) -> port.Swapped | port.Conflict:
        if response.status == STATUS_CONFLICT:
            return _conflict(key, response)
        return port.Swapped(port.Row(key, value, response.version))

    return send(
        "PUT", _path("tables", table, key), headers, value
    ).addCallback(parse)


def _delete_row(
    send: Send, table: str, key: str, version: int
) -> defer.Deferred[port.Swapped | port.Conflict]:
    def parse(response: Response) -> port.Swapped | port.Conflict:
        if response.status == STATUS_CONFLICT:
            return _conflict(key, response)
        return port.Swapped(port.Row(key, response.content, response.version))

    return send(
        "DELETE", _path("tables", table, key), _condition(version), b""
    ).addCallback(parse)


def _condition(version: int) -> dict[str, str]:
    if version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{version}"'}


def _conflict(key: str, response: Response) -> port.Conflict:
    if response.version == 0:
        return port.Conflict(None)
    return port.Conflict(port.Row(key, response.content, response.version))


def _list_rows(
    send: Send, table: str, prefix: str
) -> defer.Deferred[tuple[port.Row, ...]]:
    path = f"{_path('tables', table)}?prefix={_quote(prefix)}"

    def parse(response: Response) -> tuple[port.Row, ...]:
        listing = _decode(Listing, response, path)
        return tuple(
            port.Row(row.key, base64.b64decode(row.value), row.version)
            for row in listing.rows
        )

    return send("GET", path, {}, b"").addCallback(parse)


def _read_object(send: Send, name: str) -> defer.Deferred[bytes | None]:
    def parse(response: Response) -> bytes | None:
        found = response.status != STATUS_NOT_FOUND
        return response.content if found else None

    return send("GET", _path("objects", name), {}, b"").addCallback(parse)


def _write_object(
    send: Send, name: str, content: bytes
) -> defer.Deferred[None]:
    return send("PUT", _path("objects", name), {}, content).addCallback(
        _discard
    )


def _list_instances(send: Send) -> defer.Deferred[tuple[port.Instance, ...]]:
    path = _path("instances")

    def parse(response: Response) -> tuple[port.Instance, ...]:
        listing: InstanceListing = _decode(InstanceListing, response, path)
        return listing.instances

    return send("GET", path, {}, b"").addCallback(parse)


def _read_weights(send: Send, name: str) -> defer.Deferred[None]:
    return send("GET", _path("weights", name), {}, b"").addCallback(_discard)


def _announce(
    send: Send, instance: port.Instance, time_to_live_ms: int
) -> defer.Deferred[None]:
    return send(
        "PUT",
        _path("instances", instance.name),
        {TIME_TO_LIVE_HEADER: str(time_to_live_ms)},
        json.dumps(dataclasses.asdict(instance)).encode(),
    ).addCallback(_discard)


def _discard(_: Response) -> None:
    return None


def _decode(kind: typing.Any, response: Response, path: str) -> typing.Any:
    try:
        return decode.decode(kind, decode.load_json(response.content), path)
    except (ValueError, decode.DecodeError) as error:
        raise port.StoreUnavailable(f"{path}: {error}") from error
