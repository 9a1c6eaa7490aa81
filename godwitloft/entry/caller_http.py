"""The HTTP interface of an entry for callers."""

import dataclasses
import functools
import json
import typing

from klein import Klein
from twisted.internet import defer
from twisted.internet import interfaces
import zope.interface

from godwitloft import answer_end
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import call_parser
from godwitloft.objects import lookup
from godwitloft.objects import types
from godwitloft.runtime import bounded_http

REQUEST_ID_HEADER = "X-Request-Id"
MS_PER_S = 1000

STATUS_OF_REASON: typing.Mapping[answers.Reason, int] = {
    answers.Reason.NO_UPSTREAM: 503,
    answers.Reason.QUEUE_FULL: 503,
    answers.Reason.SHED: 503,
    answers.Reason.DEADLINE_PASSED: 504,
    answers.Reason.DEADLINE_UNREACHABLE: 503,
    answers.Reason.TEAM_RUNNING_LIMIT: 429,
    answers.Reason.TEAM_WAITING_LIMIT: 429,
    answers.Reason.TEAM_TOKEN_LIMIT: 429,
    answers.Reason.LEAVING: 503,
    answers.Reason.POISONOUS: 422,
    answers.Reason.STORE_UNAVAILABLE: 503,
    answers.Reason.KEY_REUSED: 422,
    answers.Reason.KEY_UNKNOWN: 409,
    answers.Reason.CANCELLED: 499,
    answers.Reason.UPSTREAM_FAILED: 502,
    answers.Reason.UPSTREAM_CRASHED: 502,
    answers.Reason.AGENT_LOST: 504,
    answers.Reason.DEADLINE_IN_FLIGHT: 504,
    answers.Reason.ANSWER_DAMAGED: 502,
}


@dataclasses.dataclass(frozen=True)
class CallerPort:
    """The functions of an entry that the HTTP interface calls.

    :param objects: returns the objects in force
    :param accept: accepts a call; see
        :meth:`keyed_calls.KeyedCalls.accept`. The third argument is the
        idempotency key, or empty
    :param cancel: ends a request whose caller disconnected
    :param pause: reports whether a caller reads slowly
    :param ready: whether the entry accepts new requests
    :param configured: whether a configuration is in force, so that teams
        and services are known
    :param instruments: metrics of the process
    """

    objects: typing.Callable[[], lookup.Lookup]
    accept: typing.Callable[
        [calls.Call, typing.Callable[[answers.Answer], None], str], str
    ]
    cancel: typing.Callable[[str], None]
    pause: typing.Callable[[str, bool], None]
    ready: typing.Callable[[], bool]
    configured: typing.Callable[[], bool]
    instruments: metrics.Instruments


def error_body(
    reason: str, message: str, not_run: bool, retry_after_ms: int
) -> bytes:
    """Returns the body of an error response.

    :param reason: machine-readable reason
    :param message: human-readable message
    :param not_run: whether it is certain that nothing was run
    :param retry_after_ms: how long to wait before a retry, 0 if unknown
    :return: JSON
    """
    error = {
        "code": reason,
        "reason": reason,
        "message": message,
        "not_run": not_run,
        "retry_after_ms": retry_after_ms,
    }
    return json.dumps({"error": error}).encode()


@zope.interface.implementer(interfaces.IPushProducer)
class AnswerWriter:
    """Writes one request's answer to its caller.

    :param request: the caller's HTTP request
    :param port: the entry
    :param stream: whether the answer is streamed to the caller
    """

    def __init__(
        self, request: typing.Any, port: CallerPort, stream: bool
    ) -> None:
        self.request = request
        self.port = port
        self.stream = stream
        # What was written, to know whether it ends inside an event.
        self.written = answer_end.BodyEnd(answer_end.Framing.CLOSE, stream)
        self.request_id = ""
        self.disconnected = False
        self.ended = False
        self.done: defer.Deferred[None] = defer.Deferred()
        request.notifyFinish().addErrback(self.on_disconnect)

    def start(self, call: calls.Call, key: str) -> defer.Deferred[None]:
        """Submits the call to the entry.

        :param call: what the caller asks
        :param key: idempotency key, or empty
        :return: fires when the answer is written or the caller disconnected
        """
        if self.stream:
            self.request.registerProducer(self, True)
        request_id = self.port.accept(call, self.answer, key)
        self.request_id = request_id
        if not self.ended:
            self.request.setHeader(REQUEST_ID_HEADER, request_id)
        if self.disconnected:
            self.port.cancel(request_id)
        return self.done

    def answer(self, part: answers.Answer) -> None:
        """Writes one part of the answer.

        :param part: the part
        """
        if self.disconnected:
            return
        match part:
            case answers.Head():
                self.request.setResponseCode(part.status)
                if part.content_type:
                    self.request.setHeader("Content-Type", part.content_type)
            case answers.Data():
                self.written.feed(part.data)
                self.request.write(part.data)
            case answers.Complete():
                self.finish()
            case answers.Refused():
                self.write_refusal(part)
            case answers.Failed():
                self.write_failure(part)

    def write_refusal(self, refusal: answers.Refused) -> None:
        """Writes the refusal of a request, which was not run.

        :param refusal: the refusal
        """
        if refusal.retry_after_ms > 0:
            seconds = -(-refusal.retry_after_ms // MS_PER_S)
            self.request.setHeader("Retry-After", str(seconds))
        self.write_error(
            STATUS_OF_REASON.get(refusal.reason, 503),
            error_body(
                refusal.reason.value,
                refusal.message,
                True,
                refusal.retry_after_ms,
            ),
        )

    def write_failure(self, failure: answers.Failed) -> None:
        """Writes the failure of a request, which may have run.

        If a stream has begun, an error event is written and the connection
        is closed early, so that the caller can't take it for complete. Inside
        an event no other one can be written.

        :param failure: the failure
        """
        reason = failure.reason.value
        if not failure.outcome_known:
            reason = f"{reason}_outcome_unknown"
        body = error_body(reason, failure.message, False, 0)
        if self.request.startedWriting:
            self.ended = True
            if not self.written.inside_event:
                self.request.write(b"event: error\ndata: " + body + b"\n\n")
            elif self.request.clientproto == b"HTTP/1.0":
                # To such a caller, a close would be the end of the answer.
                self.request.channel.transport.abortConnection()
                return
            self.request.loseConnection()
            return
        self.write_error(STATUS_OF_REASON.get(failure.reason, 502), body)

    def write_error(self, status: int, body: bytes) -> None:
        """Writes a complete error response.

        :param status: HTTP status
        :param body: JSON
        """
        self.request.setResponseCode(status)
        self.request.setHeader("Content-Type", "application/json")
        self.request.write(body)
        self.finish()

    def finish(self) -> None:
        """Completes the response by firing :attr:`done`."""
        self.ended = True
        if self.stream:
            self.request.unregisterProducer()
        self.done.callback(None)

    def on_disconnect(self, _reason: object) -> None:
        """Cancels the request after its caller closed the connection."""
        self.disconnected = True
        if not self.ended and self.request_id:
            self.port.cancel(self.request_id)
        if not self.done.called:
            self.done.callback(None)

    def pauseProducing(self) -> None:
        """Pauses the answer while the caller reads slowly."""
        self.port.pause(self.request_id, True)

    def resumeProducing(self) -> None:
        """Resumes the answer when the caller reads again."""
        self.port.pause(self.request_id, False)

    def stopProducing(self) -> None:
        """Does nothing: :meth:`on_disconnect` handles a lost connection."""


def read_request(
    request: typing.Any, path: str
) -> call_parser.IncomingRequest:
    """Reads the parts of an HTTP request.

    :param request: a request whose body has arrived
    :param path: path for the upstream, without the query
    :return: its parts
    """
    headers = {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    query = request.uri.partition(b"?")[2].decode("latin-1")
    return call_parser.IncomingRequest(
        method=request.method.decode("latin-1"),
        path=f"{path}?{query}" if query else path,
        headers=headers,
        body=request.content.read(),
    )


def write_rejection(
    request: typing.Any, port: CallerPort, rejected: call_parser.Rejected
) -> bytes:
    """Sets status and headers for an invalid request and counts it.

    :param request: the caller's HTTP request
    :param port: the entry
    :param rejected: why it is rejected
    :return: the body of the response
    """
    port.instruments.refusals.add(
        1, {"reason": rejected.reason.value, "tier": ""}
    )
    request.setResponseCode(rejected.status)
    request.setHeader("Content-Type", "application/json")
    return error_body(rejected.reason.value, rejected.message, True, 0)


def run_handler(
    port: CallerPort,
    request: typing.Any,
    handler: typing.Callable[[], typing.Any],
) -> typing.Any:
    """Runs a handler and turns a rejection into an error response.

    :param port: the entry
    :param request: the caller's HTTP request
    :param handler: the handler
    :return: the handler's result, or the body of the error response
    """
    try:
        if getattr(request, "too_large", False):
            raise call_parser.Rejected(
                413,
                answers.Reason.BODY_TOO_LARGE,
                f"the body is longer than {request.max_body_bytes} bytes",
            )
        if not port.configured():
            raise call_parser.Rejected(
                503,
                answers.Reason.NOT_CONFIGURED,
                "this entry has no configuration yet",
            )
        return handler()
    except call_parser.Rejected as rejected:
        return write_rejection(request, port, rejected)


def resource(port: CallerPort) -> typing.Any:
    """Returns the web resource that serves callers.

    :param port: the entry
    :return: a resource to be served at the root
    """
    app = Klein()

    def complete(request: typing.Any) -> typing.Any:
        path = request.path.decode("latin-1")
        incoming = read_request(request, path)
        call = call_parser.model_call(incoming, port.objects())
        key = call_parser.idempotency_key(incoming)
        return AnswerWriter(request, port, call.stream).start(call, key)

    def forward(request: typing.Any, service: str, path: str) -> typing.Any:
        incoming = read_request(request, f"/{path}")
        call = call_parser.plain_call(incoming, service, port.objects())
        key = call_parser.idempotency_key(incoming)
        return AnswerWriter(request, port, False).start(call, key)

    @app.route("/v1/chat/completions", methods=["POST"])
    @app.route("/v1/completions", methods=["POST"])
    def completions(request: typing.Any) -> typing.Any:
        return run_handler(port, request, functools.partial(complete, request))

    @app.route("/services/<service>/", defaults={"path": ""})
    @app.route("/services/<service>/<path:path>")
    def services(request: typing.Any, service: str, path: str) -> typing.Any:
        handler = functools.partial(forward, request, service, path)
        return run_handler(port, request, handler)

    @app.route("/v1/models", methods=["GET"])
    def models(request: typing.Any) -> typing.Any:
        def listing() -> bytes:
            objects = port.objects()
            team = call_parser.authenticate(read_request(request, ""), objects)
            request.setHeader("Content-Type", "application/json")
            return json.dumps(model_list(objects, team)).encode()

        return run_handler(port, request, listing)

    @app.route("/health/live")
    def live(_request: typing.Any) -> bytes:
        return b"ok\n"

    @app.route("/health/ready")
    def ready(request: typing.Any) -> bytes:
        if port.ready():
            return b"ok\n"
        request.setResponseCode(503)
        return b"not ready\n"

    return app.resource()


def model_list(
    objects: lookup.Lookup, team: types.Team
) -> dict[str, typing.Any]:
    """Returns the models that a team may call.

    :param objects: the objects in force
    :param team: the calling team
    :return: the list in the format of OpenAI's API
    """
    names = [
        service.name
        for service in objects.services.values()
        if service.kind is types.ServiceKind.MODEL
        and objects.may_call(team, service.name)
    ]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "godwitloft"}
        for name in sorted(names)
    ]
    return {"object": "list", "data": data}


def site(
    port: CallerPort, limits: settings_module.Limits
) -> bounded_http.BoundedConnections:
    """Returns the factory of the callers' HTTP connections.

    :param port: the entry
    :param limits: limits on headers, bodies and connections
    :return: a factory of HTTP connections
    """

    def refuse_connection() -> None:
        reason = answers.Reason.TOO_MANY_CONNECTIONS
        port.instruments.refusals.add(1, {"reason": reason.value, "tier": ""})

    bounds = bounded_http.Bounds(
        lambda _request: limits.body_bytes,
        limits.connections,
        limits.header_bytes,
    )
    return bounded_http.site(resource(port), bounds, refuse_connection)
