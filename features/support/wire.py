"""Sends HTTP requests to a server factory over in-memory connections."""

from twisted.internet import address
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

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
