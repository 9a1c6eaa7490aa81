"""A stand-in for the platform's service over HTTP.

Paths: ``/tables/T/K`` (``ETag`` is the version; writes need ``If-Match``
or ``If-None-Match: *``), ``/tables/T?prefix=P``, ``/objects/NAME``,
``/instances``, ``/weights/NAME`` and, for tests, ``/control/faults`` and
``/counts``.
"""

import base64
import dataclasses
import typing
import urllib.parse

from klein import Klein
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from twisted.web import server

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft.standins import http
from godwitloft.store import faults
from godwitloft.store import memory
from godwitloft.store import port

MS_PER_S = 1000
TIME_TO_LIVE_HEADER = "X-Time-To-Live-Ms"

Operation = typing.Callable[[], bytes]


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Behaviour of a stand-in platform.

    :param limits: limits on call rates
    :param initial_faults: faults injected from the start
    :param seed: random seed that selects the calls hit by a fault
    """

    limits: memory.StoreSettings = memory.StoreSettings()
    initial_faults: faults.Faults = faults.Faults()
    seed: int = 1


class Platform:
    """A stand-in platform.

    :param settings: its behaviour
    :param reactor: provides time and timers; may be a test clock
    """

    def __init__(
        self, settings: PlatformSettings, reactor: interfaces.IReactorTime
    ) -> None:
        self.reactor = reactor
        self.store = memory.Store(
            clocks.reactor_clock(reactor), settings.limits
        )
        self.injector = faults.Injector(settings.initial_faults, settings.seed)


def listen(
    platform: Platform,
    reactor: typing.Any,
    address: str = "127.0.0.1",
    port_number: int = 0,
) -> http.Listener:
    """Returns the platform's server, not yet started.

    :param platform: the platform to serve
    :param reactor: opens ports and provides timers
    :param address: IP address
    :param port_number: TCP port, 0 for a free one
    :return: the listener; call its ``start``
    """
    site = server.Site(resource(platform), reactor=reactor)
    return http.Listener(reactor, site, address, port_number)


def resource(platform: Platform) -> typing.Any:
    """Returns the platform's paths as a web resource.

    :param platform: the platform to serve
    :return: the root resource
    """
    app = Klein()
    _add_tables(app, platform)
    _add_objects(app, platform)
    _add_instances(app, platform)
    _add_control(app, platform)
    return app.resource()


def _add_tables(app: Klein, platform: Platform) -> None:
    store = platform.store

    @app.route("/tables/<table>", methods=["GET"])
    def list_rows(request: typing.Any, table: str) -> typing.Any:
        prefix = request.args.get(b"prefix", [b""])[0].decode()

        def run() -> bytes:
            rows = [
                {
                    "key": row.key,
                    "value": base64.b64encode(row.value).decode(),
                    "version": row.version,
                }
                for row in store.list_rows(table, prefix)
            ]
            return http.reply(request, {"rows": rows})

        return _respond(platform, request, port.Service.TABLES, False, run)

    @app.route("/tables/<table>/<key>", methods=["GET"])
    def read_row(request: iweb.IRequest, table: str, key: str) -> typing.Any:
        def run() -> bytes:
            row = store.read_row(table, _unquote(key))
            return _row_response(request, row, 404 if row is None else 200)

        return _respond(platform, request, port.Service.TABLES, False, run)

    @app.route("/tables/<table>/<key>", methods=["PUT"])
    def write_row(request: typing.Any, table: str, key: str) -> typing.Any:
        value = request.content.read()
        version = _expected_version(request)
        ttl = request.getHeader(TIME_TO_LIVE_HEADER)
        ttl_ms = int(ttl) if ttl else None

        def run() -> bytes:
            return _swap_response(
                request,
                store.write_row(table, _unquote(key), value, version, ttl_ms),
            )

        return _respond(platform, request, port.Service.TABLES, True, run)

    @app.route("/tables/<table>/<key>", methods=["DELETE"])
    def delete_row(request: typing.Any, table: str, key: str) -> typing.Any:
        version = _expected_version(request)

        def run() -> bytes:
            return _swap_response(
                request, store.delete_row(table, _unquote(key), version)
            )

        return _respond(platform, request, port.Service.TABLES, True, run)


def _add_objects(app: Klein, platform: Platform) -> None:
    store = platform.store

    @app.route("/objects/<name>", methods=["GET"])
    def read_object(request: typing.Any, name: str) -> typing.Any:
        def run() -> bytes:
            content = store.read_object(_unquote(name))
            if content is None:
                return http.refuse(request, 404, f"no object {name!r}")
            return content

        return _respond(platform, request, port.Service.OBJECTS, False, run)

    @app.route("/objects/<name>", methods=["PUT"])
    def write_object(request: typing.Any, name: str) -> typing.Any:
        content = request.content.read()

        def run() -> bytes:
            store.write_object(_unquote(name), content)
            return http.reply(request, {})

        return _respond(platform, request, port.Service.OBJECTS, True, run)

    @app.route("/weights/<name>", methods=["GET"])
    def read_weights(request: typing.Any, name: str) -> typing.Any:
        def run() -> bytes:
            store.read_weights(_unquote(name))
            return http.reply(request, {})

        return _respond(platform, request, port.Service.WEIGHTS, True, run)


def _add_instances(app: Klein, platform: Platform) -> None:
    store = platform.store

    @app.route("/instances", methods=["GET"])
    def list_instances(request: iweb.IRequest) -> typing.Any:
        def run() -> bytes:
            lag_ms = platform.injector.faults.list_lag_ms
            listed = store.list_instances(lag_ms)
            instances = [dataclasses.asdict(instance) for instance in listed]
            return http.reply(request, {"instances": instances})

        return _respond(platform, request, port.Service.INSTANCES, False, run)

    @app.route("/instances/<name>", methods=["PUT"])
    def announce(request: typing.Any, name: str) -> typing.Any:
        body = http.read_json(request)
        ttl = request.getHeader(TIME_TO_LIVE_HEADER) or ""
        try:
            instance = decode.decode(port.Instance, body, "instance")
        except decode.DecodeError as error:
            return http.refuse(request, 400, str(error))
        if instance.name != _unquote(name) or not ttl.isdigit():
            return http.refuse(request, 400, "wrong name or time to live")

        def run() -> bytes:
            store.announce_instance(instance, int(ttl))
            return http.reply(request, {})

        return _respond(platform, request, port.Service.INSTANCES, True, run)


def _add_control(app: Klein, platform: Platform) -> None:
    @app.route("/control/faults", methods=["POST"])
    def set_faults(request: iweb.IRequest) -> bytes:
        try:
            new_faults = decode.decode(
                faults.Faults, http.read_json(request), "faults"
            )
        except decode.DecodeError as error:
            return http.refuse(request, 400, str(error))
        platform.injector.set(new_faults)
        return http.reply(request, {})

    @app.route("/counts", methods=["GET"])
    def counts(request: iweb.IRequest) -> bytes:
        store = platform.store
        return http.reply(
            request, {"reads": store.read_count, "writes": store.write_count}
        )


def _respond(
    platform: Platform,
    request: typing.Any,
    service: port.Service,
    is_write: bool,
    run: Operation,
) -> typing.Any:
    decision = platform.injector.decide(service, is_write)
    if decision.action is faults.Action.REFUSE:
        return http.refuse(request, 503, "the platform is down")
    finished: defer.Deferred[bytes] = defer.Deferred()
    if decision.action is faults.Action.HANG:
        return finished

    def finish() -> None:
        body = _run_operation(request, run)
        if finished.called:
            return
        if decision.action is faults.Action.LOSE:
            request.transport.abortConnection()
        finished.callback(body)

    if decision.delay_ms > 0:
        platform.reactor.callLater(decision.delay_ms / MS_PER_S, finish)
    else:
        finish()
    return finished


def _run_operation(request: typing.Any, run: Operation) -> bytes:
    try:
        return run()
    except port.RateLimited as error:
        return http.refuse(request, 429, str(error))
    except port.InvalidCall as error:
        return http.refuse(request, 400, str(error))


def _swap_response(
    request: typing.Any, outcome: port.Swapped | port.Conflict
) -> bytes:
    status = 200 if isinstance(outcome, port.Swapped) else 412
    return _row_response(request, outcome.row, status)


def _row_response(
    request: typing.Any, row: port.Row | None, status: int
) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/octet-stream")
    if row is None:
        return b""
    request.setHeader("ETag", f'"{row.version}"')
    return row.value


def _expected_version(request: typing.Any) -> int:
    if request.getHeader("If-None-Match") == "*":
        return 0
    text = (request.getHeader("If-Match") or "").strip('"')
    return int(text) if text.isdigit() else -1


def _unquote(text: str) -> str:
    return urllib.parse.unquote(text)
