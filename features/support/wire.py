"""Sends HTTP requests to a server factory over in-memory connections."""

import socket

from twisted.internet import address
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from godwitloft import attempt
from godwitloft import connection_check

CALLER = address.IPv4Address("TCP", "127.0.0.1", 4000)


def send(factory, method, path, body="", headers=""):
    """Sends an HTTP/1.0 request and returns its in-memory transport."""
    protocol = factory.buildProtocol(CALLER)
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    head = f"{method} {path} HTTP/1.0\r\nContent-Length: {len(body)}\r\n"
    protocol.dataReceived(f"{head}{headers}\r\n{body}".encode())
    return transport


def parse_response(transport):
    """Returns the status and the body of the response on a transport."""
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


def disconnect(transport):
    """Closes a connection from the caller's side."""
    reason = failure.Failure(error.ConnectionDone())
    transport.protocol.connectionLost(reason)


def connect(protocol, context):
    """Connects a client's protocol and returns its in-memory transport."""
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = protocol
    transport.abortConnection = transport.loseConnection
    transport.setTcpNoDelay = lambda _on: None
    handle = socket.socket()
    context.add_cleanup(handle.close)
    transport.getHandle = lambda: handle
    protocol.makeConnection(transport)
    return transport


def close(transport, clean=True):
    """Closes or resets a connection from the server's side."""
    kind = error.ConnectionDone if clean else error.ConnectionLost
    transport.connected = False
    transport.protocol.connectionLost(failure.Failure(kind()))


def answer_check(reactor, accepts=True, accepts_at_once=None):
    """Answers the checks whether a server lives on, if any are made.

    :param reactor: the simulated reactor of the client
    :param accepts: whether the server accepts connections
    :param accepts_at_once: whether it does right after the close, by default
        the same
    """
    answer_open_checks(
        reactor, accepts if accepts_at_once is None else accepts_at_once
    )
    reactor.advance(attempt.END_CHECK_DELAY_MS / 1000)
    answer_open_checks(reactor, accepts)


def answer_open_checks(reactor, accepts):
    for _host, _port, factory, *_others in list(reactor.tcpClients):
        is_check = isinstance(factory, connection_check.CheckFactory)
        if not is_check or hasattr(factory, "is_answered"):
            continue
        factory.is_answered = True
        if accepts:
            factory.buildProtocol(None)
        else:
            refused = failure.Failure(error.ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
