"""Serves metrics and health of a daemon over HTTP on a separate port."""

import typing

from klein import Klein
from twisted.web import server

from godwitloft import settings as settings_module

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def site(
    render: typing.Callable[[], bytes], ready: typing.Callable[[], bool]
) -> server.Site:
    """Returns a factory that serves ``/metrics`` and ``/health``.

    :param render: returns the metrics as Prometheus text
    :param ready: returns whether the daemon accepts new work
    :return: a factory of HTTP connections
    """
    app = Klein()

    @app.route("/metrics")
    def metrics(request: typing.Any) -> bytes:
        request.setHeader("Content-Type", METRICS_TYPE)
        return render()

    @app.route("/health/live")
    def live(_request: typing.Any) -> bytes:
        return b"ok\n"

    @app.route("/health/ready")
    def is_ready(request: typing.Any) -> bytes:
        if ready():
            return b"ok\n"
        request.setResponseCode(503)
        return b"not ready\n"

    return server.Site(app.resource())


def listen(
    reactor: typing.Any,
    endpoint: settings_module.Listen | None,
    render: typing.Callable[[], bytes],
    ready: typing.Callable[[], bool],
) -> typing.Any:
    """Listens on the address in the settings, if there is one.

    :param reactor: the twisted reactor
    :param endpoint: address and port, or None to not listen
    :param render: returns the metrics as Prometheus text
    :param ready: returns whether the daemon accepts new work
    :return: the listening port, or None
    """
    if endpoint is None:
        return None
    return reactor.listenTCP(
        endpoint.port, site(render, ready), interface=endpoint.address
    )
