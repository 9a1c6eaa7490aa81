"""Logs what callers did not get as the process ends."""

import typing

from godwitloft import events
from godwitloft import immediate_write
from godwitloft import unread_input
from godwitloft.gateway import shutdown as shutdowns
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import http_server


def report_connections(
    connections: typing.Iterable[http_server.HttpConnection],
    dialect: dialects.Dialect,
    shutdown: shutdowns.Shutdown,
) -> None:
    """Logs each connection that ends with a request not answered in whole.

    :param connections: those that are still open, just before the end
    :param dialect: names of the headers
    :param shutdown: for how long the process has been stopping
    """
    for connection in connections:
        unsent = immediate_write.unsent_bytes(connection.transport)
        if connection.answered is not None and unsent:
            events.log(
                events.ANSWER_UNSENT,
                request=request_id(connection.answered, dialect),
                unsent_bytes=unsent,
                **shutdown.log_fields(),
            )
        part = unread_part(connection)
        arrived = unread_input.arrived_bytes(connection.transport)
        if not part and connection.exchange is None and arrived:
            report_left_unread(arrived, shutdown)
        if part:
            exchange = connection.exchange
            events.log(
                events.REQUEST_UNREAD,
                request=request_id(exchange, dialect),
                missing=part,
                body_bytes=exchange.body_bytes if exchange else 0,
                **shutdown.log_fields(),
            )


def report_left_unread(
    unread_bytes: int, shutdown: shutdowns.Shutdown
) -> None:
    """Logs that a connection is closed behind which a request has arrived.

    Its caller gets a reset, and may send the request again.

    :param unread_bytes: how much had arrived
    :param shutdown: for how long the process has been stopping
    """
    events.log(
        events.REQUEST_UNREAD,
        request="",
        missing="answer",
        unread_bytes=unread_bytes,
        **shutdown.log_fields(),
    )


def unread_part(connection: http_server.HttpConnection) -> str:
    """Returns what is missing of a request that has begun to arrive.

    :param connection: an open connection
    :return: ``head`` or ``body``, empty if nothing is
    """
    exchange = connection.exchange
    if exchange is not None:
        is_read = connection.handed_over or exchange.ended
        return "" if is_read else "body"
    return "head" if connection.head_started_ms is not None else ""


def request_id(
    exchange: http_server.Exchange | None, dialect: dialects.Dialect
) -> str:
    """Returns the id that a caller gave its request.

    :param exchange: the request, None if its head was not read
    :param dialect: names of the headers
    :return: its id, empty if it isn't known
    """
    if exchange is None:
        return ""
    return (exchange.header(dialect.request_id) or b"").decode("latin-1")
