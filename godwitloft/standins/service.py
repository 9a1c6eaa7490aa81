"""A stand-in for a plain service, such as a release desk.

Every call is recorded in a ledger, which reveals calls that took effect
twice. The answer is computed from the request alone.
"""

import collections
import dataclasses
import hashlib
import json
import typing

from klein import Klein
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from twisted.web import server

from godwitloft import decode
from godwitloft.standins import http
from godwitloft.standins import ledger

MS_PER_S = 1000
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DURATION_HEADER = "X-Duration-Ms"
CONTROL_PATH = "control"
LEDGER_PATH = "ledger"
DIGEST_BYTES = 8

LOST = "lost"
REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class ServiceSettings:
    """Behaviour of a stand-in service.

    :param duration_ms: duration of a call; the header ``X-Duration-Ms`` of
        a call overrides it
    """

    duration_ms: float = 20.0


@dataclasses.dataclass(frozen=True)
class Control:
    """A fault to inject; absent keys change nothing.

    :param fail_calls: number of next calls that fail without any effect
    :param fail_status: HTTP status of those calls
    :param lose_answers: number of next calls that take effect and whose
        connection is then aborted
    :param stall_ms: time during which no arriving call is processed; such
        calls are processed at its end
    :param slow_factor: factor on the duration of every call
    :param leaving: whether new calls are refused with 503
    """

    fail_calls: int = 0
    fail_status: int = 500
    lose_answers: int = 0
    stall_ms: float | None = None
    slow_factor: float | None = None
    leaving: bool | None = None


class Service:
    """The state of one stand-in service.

    :param settings: how it behaves
    :param reactor: gives time and timers; a driven clock will do
    """

    def __init__(
        self, settings: ServiceSettings, reactor: interfaces.IReactorTime
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.calls: list[ledger.CallEntry] = []
        self.faults: collections.deque[tuple[str, int]] = collections.deque()
        self.slow_factor = 1.0
        self.stalled_until_ms = 0.0
        self.leaving = False

    def now_ms(self) -> float:
        """Returns the reactor's time in milliseconds."""
        return self.reactor.seconds() * MS_PER_S

    def apply(self, control: Control) -> None:
        """Injects a fault.

        :param control: the changes
        """
        self.faults.extend(
            [(REFUSED, control.fail_status)] * control.fail_calls
        )
        self.faults.extend([(LOST, 0)] * control.lose_answers)
        if control.stall_ms is not None:
            self.stalled_until_ms = self.now_ms() + control.stall_ms
        if control.slow_factor is not None:
            self.slow_factor = control.slow_factor
        if control.leaving is not None:
            self.leaving = control.leaving

    def record(self, entry: ledger.CallEntry) -> None:
        """Adds or replaces a ledger entry.

        :param entry: the entry, stored by its number
        """
        if entry.number > len(self.calls):
            self.calls.append(entry)
        else:
            self.calls[entry.number - 1] = entry


def listen(
    service: Service,
    reactor: typing.Any,
    address: str = "127.0.0.1",
    port: int = 0,
) -> http.Listener:
    """Returns the service's server, not yet started.

    :param service: the service to serve
    :param reactor: opens ports and provides timers
    :param address: IP address
    :param port: TCP port, 0 for a free one
    :return: the listener; call its ``start``
    """
    site = server.Site(resource(service), reactor=reactor)
    return http.Listener(reactor, site, address, port)


def answer(method: str, path: str, body: bytes) -> http.Json:
    """Returns the answer of a stand-in service to a call.

    :param method: HTTP method
    :param path: path with its query, without the leading slash
    :param body: body of the call
    :return: a JSON object that identifies the call
    """
    return {"method": method, "path": path, "digest": body_digest(body)}


def body_digest(body: bytes) -> str:
    """Returns the hash that identifies a body in the ledger.

    :param body: the body
    :return: hexadecimal digits
    """
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def resource(service: Service) -> typing.Any:
    """Returns the service's paths as a web resource.

    ``/ledger`` and ``/control`` are for tests; every other path is a call.

    :param service: the service to serve
    :return: the root resource
    """
    app = Klein()

    @app.route(f"/{LEDGER_PATH}", methods=["GET"])
    def show_ledger(request: iweb.IRequest) -> bytes:
        calls = [dataclasses.asdict(call) for call in service.calls]
        return http.reply(request, {"calls": calls})

    @app.route(f"/{CONTROL_PATH}", methods=["POST"])
    def control(request: iweb.IRequest) -> bytes:
        try:
            change = decode.decode(Control, http.read_json(request), "control")
        except decode.DecodeError as error:
            return http.refuse(request, 400, str(error))
        service.apply(change)
        return http.reply(request, {})

    @app.route("/", branch=True)
    def call(request: iweb.IRequest) -> typing.Any:
        return _call(service, request)

    return app.resource()


def _call(service: Service, request: typing.Any) -> typing.Any:
    if service.leaving:
        return http.refuse(request, 503, "the service is leaving")
    body = request.content.read()
    method = request.method.decode()
    path = request.uri.decode().lstrip("/")
    entry = ledger.CallEntry(
        number=len(service.calls) + 1,
        request_id=request.getHeader(http.REQUEST_ID_HEADER) or "",
        idempotency_key=request.getHeader(IDEMPOTENCY_KEY_HEADER) or "",
        method=method,
        path=path,
        body_digest=body_digest(body),
        arrived_ms=service.now_ms(),
    )
    service.record(entry)
    fault, status = service.faults.popleft() if service.faults else ("", 200)
    finished: defer.Deferred[bytes] = defer.Deferred()

    def finish() -> None:
        took_effect = fault != REFUSED
        service.record(
            dataclasses.replace(entry, took_effect=took_effect, status=status)
        )
        if finished.called:
            return
        if fault == REFUSED:
            finished.callback(http.refuse(request, status, "told to fail"))
            return
        if fault == LOST:
            request.transport.abortConnection()
        text = json.dumps(answer(method, path, body))
        request.setHeader("Content-Type", "application/json")
        finished.callback(text.encode())

    service.reactor.callLater(
        _duration_ms(service, request) / MS_PER_S, finish
    )
    return finished


def _duration_ms(service: Service, request: typing.Any) -> float:
    text = request.getHeader(DURATION_HEADER) or ""
    own_ms = float(text) if text.isdigit() else service.settings.duration_ms
    stalled_ms = max(0.0, service.stalled_until_ms - service.now_ms())
    return stalled_ms + own_ms * service.slow_factor
