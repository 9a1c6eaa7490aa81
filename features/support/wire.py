"""HTTP requests to a factory over connections in memory."""

from twisted.internet import address
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

CALLER = address.IPv4Address("TCP", "127.0.0.1", 4000)


def send(factory, method, path, body="", headers=""):
    """Sends an HTTP/1.0 request over a connection in memory."""
    protocol = factory.buildProtocol(CALLER)
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    head = f"{method} {path} HTTP/1.0\r\nContent-Length: {len(body)}\r\n"
    protocol.dataReceived(f"{head}{headers}\r\n{body}".encode())
    return transport


def parse_response(transport):
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


def disconnect(transport):
    """Closes a connection from the caller's side."""
    reason = failure.Failure(error.ConnectionDone())
    transport.protocol.connectionLost(reason)
