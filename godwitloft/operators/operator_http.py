"""The operators' HTTP API of an entry, under ``/operator``.

Every request carries a bearer token, whose role decides what the operator
may do. Every refusal is counted by its reason and logged with the operator's
name. Every change is logged with the operator's name too.
"""

import dataclasses
import enum
import hashlib
import typing

import klein
from twisted.internet import defer
from twisted.web import http
from twisted.web import server
from werkzeug import exceptions

from godwitloft import decode
from godwitloft import errors
from godwitloft import events
from godwitloft import metrics
from godwitloft import settings
from godwitloft import whole_number
from godwitloft.coordination import publish
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import errors as objects_errors
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.runtime import bounded_http
from godwitloft.store import port as platform

MAX_BODY_BYTES = parse.MAX_FILE_BYTES + 64 * 1024
MAX_UNAUTHENTICATED_BODY_BYTES = 4096
MAX_VIEWER_BODY_BYTES = 64 * 1024
MAX_CONNECTIONS = 256
MAX_HISTORY_COUNT = 200
DEFAULT_HISTORY_COUNT = 20
MAX_QUERY_NUMBER = 10**12 - 1
ROLE_ORDER = tuple(settings.Role)


class Reason(enum.Enum):
    """Why an operator's request was refused; the counter's label."""

    TOKEN_UNKNOWN = "token_unknown"
    ROLE_TOO_LOW = "role_too_low"
    BODY_TOO_LARGE = "body_too_large"
    BODY_WRONG = "body_wrong"
    QUERY_WRONG = "query_wrong"
    NOT_FOUND = "not_found"
    METHOD_WRONG = "method_wrong"
    OBJECTS_WRONG = "objects_wrong"
    CONFLICTING = "conflicting"
    UNDECIDED = "undecided"
    UNAVAILABLE = "unavailable"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    FAILED = "failed"


STATUS_CODES: typing.Mapping[Reason, int] = {
    Reason.TOKEN_UNKNOWN: http.UNAUTHORIZED,
    Reason.ROLE_TOO_LOW: http.FORBIDDEN,
    Reason.BODY_TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    Reason.BODY_WRONG: http.BAD_REQUEST,
    Reason.QUERY_WRONG: http.BAD_REQUEST,
    Reason.NOT_FOUND: http.NOT_FOUND,
    Reason.METHOD_WRONG: http.NOT_ALLOWED,
    Reason.OBJECTS_WRONG: 422,
    Reason.CONFLICTING: http.CONFLICT,
    Reason.UNDECIDED: http.GATEWAY_TIMEOUT,
    Reason.UNAVAILABLE: http.SERVICE_UNAVAILABLE,
    Reason.FAILED: http.INTERNAL_SERVER_ERROR,
}


class RequestRefused(errors.GodwitloftError):
    """An operator's request is refused.

    :param reason: counted and sent to the operator
    :param message: human-readable explanation
    """

    def __init__(self, reason: Reason, message: str) -> None:
        self.reason = reason
        self.message = message
        super().__init__(message)


@dataclasses.dataclass(frozen=True)
class Api:
    """Dependencies that all handlers share.

    :param port: carries out the requests
    :param tokens: hexadecimal SHA-256 of a bearer token to its settings
    :param instruments: counts refusals
    :param run_blocking: runs a slow function, preferably in a thread, so that
        it doesn't delay the requests of callers
    """

    port: operator_port.OperatorPort
    tokens: typing.Mapping[str, settings.Token]
    instruments: metrics.Instruments
    run_blocking: publish.RunBlocking


# Called with the shared dependencies, the operator's token, the request and
# the variable parts of the path.
Handler = typing.Callable[..., typing.Awaitable[object]]
UNAVAILABLE_ERRORS = (
    publish.PublishError,
    platform.PlatformError,
    operator_port.OperatorError,
)


def create_api(
    port: operator_port.OperatorPort,
    tokens: typing.Iterable[settings.Token],
    instruments: metrics.Instruments,
    run_blocking: publish.RunBlocking = defer.maybeDeferred,
) -> Api:
    """Creates the dependencies that all handlers share.

    :param port: carries out the requests
    :param tokens: of the operators that may use the API
    :param instruments: counts refusals
    :param run_blocking: runs a function with its arguments; entries pass
        ``threads.deferToThread``
    :return: the shared dependencies
    """
    by_hash = {token.token_hash: token for token in tokens}
    return Api(port, by_hash, instruments, run_blocking)


def site(api: Api) -> bounded_http.BoundedConnections:
    """Returns the site that serves operators on a separate port.

    :param api: the shared dependencies
    :return: a factory of HTTP connections with bounds
    """

    def refuse_connection() -> None:
        _record_refusal(
            api, "", Reason.TOO_MANY_CONNECTIONS, "too many connections"
        )

    return bounded_http.site(
        resource(api),
        bounded_http.Bounds(
            lambda request: _max_body_bytes(api, request), MAX_CONNECTIONS
        ),
        refuse_connection,
    )


def resource(api: Api) -> typing.Any:
    """Returns the resource that serves ``/operator``.

    :param api: the shared dependencies
    :return: a root resource
    """
    app = klein.Klein()
    viewer = settings.Role.VIEWER

    def route(
        path: str, method: str, role: settings.Role, handler: Handler
    ) -> None:
        async def endpoint(
            request: server.Request, **path_variables: str
        ) -> typing.Any:
            return await _handle(api, request, role, handler, **path_variables)

        app.route(path, methods=[method], endpoint=f"{method} {path}")(
            endpoint
        )

    route("/operator/head", "GET", viewer, _get_head)
    route("/operator/snapshot", "GET", viewer, _get_snapshot)
    route("/operator/history", "GET", viewer, _get_history)
    route("/operator/status", "GET", viewer, _get_status)
    route("/operator/explain/<name>", "GET", viewer, _get_explanation)
    route("/operator/publish", "POST", settings.Role.PUBLISHER, _post_publish)
    route(
        "/operator/drain/<name>", "POST", settings.Role.OPERATOR, _post_drain
    )
    _route_errors(app, api)
    return app.resource()


def _route_errors(app: klein.Klein, api: Api) -> None:
    @app.handle_errors(exceptions.MethodNotAllowed)
    def refuse_method(request: server.Request, _failure: object) -> bytes:
        refused = RequestRefused(
            Reason.METHOD_WRONG, "the path doesn't support this method"
        )
        return _write_refusal(api, request, "", refused)

    @app.handle_errors(exceptions.NotFound)
    def refuse_path(request: server.Request, _failure: object) -> bytes:
        refused = RequestRefused(Reason.NOT_FOUND, "the path doesn't exist")
        return _write_refusal(api, request, "", refused)


async def _handle(
    api: Api,
    request: server.Request,
    role: settings.Role,
    handler: Handler,
    **path_variables: str,
) -> bytes:
    name = ""
    try:
        token = _authenticate(api, request)
        name = token.name
        _authorise(token, role)
        value = await handler(api, token, request, **path_variables)
    except Exception as error:
        refused = _to_refusal(error)
        if refused.reason is Reason.FAILED:
            events.log_error(
                events.OPERATOR_CALL_FAILED,
                error,
                operator=name,
                path=request.path.decode("latin-1"),
            )
        return _write_refusal(api, request, name, refused)
    return _write(request, value)


def _to_refusal(error: Exception) -> RequestRefused:
    if isinstance(error, RequestRefused):
        return error
    if isinstance(error, publish.PublishUndecided):
        return RequestRefused(Reason.UNDECIDED, str(error))
    if isinstance(error, UNAVAILABLE_ERRORS):
        return RequestRefused(Reason.UNAVAILABLE, str(error))
    return RequestRefused(
        Reason.FAILED, "internal error of the entry; see its log"
    )


def _authenticate(api: Api, request: server.Request) -> settings.Token:
    token = _find_token(api, request)
    if token is None:
        raise RequestRefused(
            Reason.TOKEN_UNKNOWN, "the bearer token is missing or unknown"
        )
    return token


def _find_token(api: Api, request: server.Request) -> settings.Token | None:
    header = request.getHeader(b"authorization") or b""
    scheme, _, token = header.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return api.tokens.get(hashlib.sha256(token.strip()).hexdigest())


def _authorise(token: settings.Token, role: settings.Role) -> None:
    if ROLE_ORDER.index(token.role) < ROLE_ORDER.index(role):
        raise RequestRefused(
            Reason.ROLE_TOO_LOW,
            f"operator {token.name!r} has the role {token.role.value!r};"
            f" this needs {role.value!r}",
        )


def _max_body_bytes(api: Api, request: server.Request) -> int:
    # Only operators who may publish can make the entry buffer a whole set.
    token = _find_token(api, request)
    if token is None:
        return MAX_UNAUTHENTICATED_BODY_BYTES
    if token.role is settings.Role.VIEWER:
        return MAX_VIEWER_BODY_BYTES
    return MAX_BODY_BYTES


async def _get_head(
    api: Api, token: settings.Token, request: server.Request
) -> publish.Head:
    return await api.port.head()


async def _get_snapshot(
    api: Api, token: settings.Token, request: server.Request
) -> bytes:
    head = await _find_head(api, _query_number(request, "generation", 0))
    content = await api.port.snapshot(head) if head.generation else b"{}"
    # Equal to an encoded SnapshotAnswer. A snapshot is already JSON, and
    # decoding a large one would delay the requests of callers.
    head_text = canonical.encode_value(head).encode("ascii")
    return b'{"head":%b,"objects":%b}' % (head_text, content)


async def _find_head(api: Api, generation: int) -> publish.Head:
    head = await api.port.head()
    if generation in (0, head.generation):
        return head
    heads: tuple[publish.Head, ...] = ()
    if generation < head.generation:
        heads = await api.port.history(generation + 1, 1)
    if not heads or heads[0].generation != generation:
        raise RequestRefused(
            Reason.NOT_FOUND,
            f"generation {generation} doesn't exist; the highest is"
            f" {head.generation}",
        )
    return heads[0]


async def _get_history(
    api: Api, token: settings.Token, request: server.Request
) -> operator_port.HistoryAnswer:
    count = _query_number(request, "count", DEFAULT_HISTORY_COUNT)
    if not 1 <= count <= MAX_HISTORY_COUNT:
        raise RequestRefused(
            Reason.QUERY_WRONG,
            f"count {count} is not in 1 to {MAX_HISTORY_COUNT}",
        )
    before = _query_number(request, "before", 0)
    head = await api.port.head()
    heads: tuple[publish.Head, ...] = ()
    if not before or before > head.generation:
        heads = (head,) if head.generation else ()
        before = head.generation
    older = await api.port.history(before, count - len(heads))
    return operator_port.HistoryAnswer(heads + tuple(older))


async def _get_status(
    api: Api, token: settings.Token, request: server.Request
) -> operator_port.Status:
    return await api.port.status()


async def _get_explanation(
    api: Api, token: settings.Token, request: server.Request, name: str
) -> operator_port.Explanation:
    explanation = await api.port.explain(name)
    if explanation is None:
        raise RequestRefused(
            Reason.NOT_FOUND,
            f"request {decode.show(name)} is not known here",
        )
    return explanation


async def _post_publish(
    api: Api, token: settings.Token, request: server.Request
) -> operator_port.PublishAnswer:
    body = await api.run_blocking(
        _decode_body, _read_content(request), operator_port.PublishBody
    )
    objects, problems = await api.run_blocking(_check_objects, body)
    if problems:
        return _reject(api, request, token, publish.Rejected(problems, False))
    outcome = await api.port.publish(
        publish.Request(
            objects=objects,
            base_generation=body.base_generation,
            author=token.name,
            reason=body.reason,
            publish_id=body.publish_id,
        )
    )
    match outcome:
        case publish.Published(head, _, rebased):
            _log_action("publish", token, body.reason, head.generation)
            return operator_port.PublishAnswer("published", head, rebased)
        case publish.Unchanged(head):
            return operator_port.PublishAnswer("unchanged", head)
        case publish.Rejected():
            return _reject(api, request, token, outcome)
        case publish.Conflicting(head, theirs):
            return _conflict(api, request, token, head, theirs)


def _check_objects(
    body: operator_port.PublishBody,
) -> tuple[types.ObjectSet, tuple[check.Problem, ...]]:
    try:
        objects = parse.from_value(body.objects, "objects")
    except objects_errors.ObjectsError as error:
        raise RequestRefused(Reason.OBJECTS_WRONG, str(error)) from error
    return objects, check.check(objects)


def _reject(
    api: Api,
    request: server.Request,
    token: settings.Token,
    rejected: publish.Rejected,
) -> operator_port.PublishAnswer:
    reason = Reason.OBJECTS_WRONG
    message = f"{len(rejected.problems)} problems"
    _record_refusal(api, token.name, reason, message)
    request.setResponseCode(STATUS_CODES[reason])
    return operator_port.PublishAnswer(
        "rejected", rebased=rejected.rebased, problems=rejected.problems
    )


def _conflict(
    api: Api,
    request: server.Request,
    token: settings.Token,
    head: publish.Head,
    theirs: tuple[publish.ConflictingChange, ...],
) -> operator_port.PublishAnswer:
    reason = Reason.CONFLICTING
    _record_refusal(api, token.name, reason, f"{len(theirs)} objects")
    request.setResponseCode(STATUS_CODES[reason])
    return operator_port.PublishAnswer("conflicting", head, theirs=theirs)


async def _post_drain(
    api: Api, token: settings.Token, request: server.Request, name: str
) -> operator_port.DrainAnswer:
    body = _decode_body(_read_content(request), operator_port.DrainBody)
    if not await api.port.drain(name, token.name, body.reason):
        raise RequestRefused(
            Reason.NOT_FOUND,
            f"instance {decode.show(name)} is not known here",
        )
    _log_action("drain", token, body.reason, name)
    return operator_port.DrainAnswer(name)


def _read_content(request: server.Request) -> bytes:
    if getattr(request, "too_large", False):
        raise RequestRefused(
            Reason.BODY_TOO_LARGE, "the body is larger than this token allows"
        )
    return request.content.read() if request.content else b""


def _decode_body(content: bytes, kind: type[typing.Any]) -> typing.Any:
    try:
        value = decode.parse_json(content, "body", MAX_BODY_BYTES)
        return decode.decode(kind, value, "body")
    except decode.DecodeError as error:
        raise RequestRefused(Reason.BODY_WRONG, str(error)) from error


def _query_number(request: server.Request, key: str, default: int) -> int:
    values = request.args.get(key.encode())
    if not values:
        return default
    text = values[0].decode("latin-1")
    number = whole_number.parse(text, MAX_QUERY_NUMBER)
    if number is None:
        raise RequestRefused(
            Reason.QUERY_WRONG,
            f"query {key!r}: {decode.show(text)} is not a whole number",
        )
    return number


def _write(request: server.Request, value: object) -> bytes:
    request.setHeader(b"Content-Type", b"application/json")
    if isinstance(value, bytes):
        return value
    return canonical.encode_value(value).encode("ascii")


def _write_refusal(
    api: Api, request: server.Request, operator: str, refused: RequestRefused
) -> bytes:
    _record_refusal(api, operator, refused.reason, refused.message)
    request.setResponseCode(STATUS_CODES[refused.reason])
    refusal = operator_port.Refusal(refused.reason.value, refused.message)
    return _write(request, operator_port.RefusalAnswer(refusal))


def _record_refusal(
    api: Api, operator: str, reason: Reason, message: str
) -> None:
    api.instruments.operator_refusals.add(1, {"reason": reason.value})
    events.log(
        events.OPERATOR_REFUSED,
        operator=operator,
        reason=reason.value,
        message=message,
    )


def _log_action(
    action: str, token: settings.Token, reason: str, target: str | int
) -> None:
    events.log(
        events.OPERATOR_ACTED,
        operator=token.name,
        action=action,
        target=target,
        reason=reason,
    )
