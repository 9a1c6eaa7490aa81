"""An upstream that answers a gateway byte by byte over a fake connection."""

import socket

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from features.support import gateway_world
from godwitloft import attempt as attempts


class WireAttempt(gateway_world.Sent):
    """An attempt of the gateway with its real parser."""

    def __init__(self, upstream, outgoing, callbacks):
        super().__init__(upstream, outgoing, callbacks)
        # What checks of the upstream show, the last one again and again.
        self.accepts = [True]
        # Whether checks show that another process has its address.
        self.has_restarted = False
        # Checks whose result is not there yet.
        self.unanswered = []
        self.attempt = attempts.Attempt(outgoing, callbacks, self.check_server)
        self.transport = testing.StringTransportWithDisconnection()
        self.transport.protocol = self.attempt
        self.transport.setTcpNoDelay = lambda _on: None
        self.transport.abortConnection = self.transport.loseConnection
        self.handle = socket.socket()
        self.transport.getHandle = lambda: self.handle
        self.attempt.makeConnection(self.transport)

    def check_server(self, on_checked):
        if self.has_restarted:
            attempts.on_process_checked(self.attempt, False, on_checked)
        elif not self.accepts:
            self.unanswered.append(on_checked)
        elif len(self.accepts) > 1:
            on_checked(self.accepts.pop(0))
        else:
            on_checked(self.accepts[0])

    def cancel(self):
        super().cancel()
        self.attempt.cancel()

    @property
    def is_closed(self):
        return self.attempt.is_closed

    @is_closed.setter
    def is_closed(self, _closed):
        pass

    def conclude(self):
        self.attempt.conclude()

    def end(self, how, reason="played"):
        self.attempt.end(how, reason)

    def pause_reading(self, paused):
        self.attempt.pause_reading(paused)

    def receive(self, data):
        """The gateway receives bytes."""
        self.attempt.dataReceived(data)

    def close(self, clean=True):
        """The upstream closes or resets the connection."""
        self.handle.close()
        kind = error.ConnectionDone if clean else error.ConnectionLost
        self.transport.connected = False
        self.attempt.connectionLost(failure.Failure(kind()))

    def answer_head(self, *headers, status=b"200 OK", version=b"1.1"):
        """Returns the head of an answer that the gateway accepts."""
        dialect = gateway_world.DIALECT
        lines = [
            b"HTTP/%s %s" % (version, status),
            b"%s: %s" % (dialect.request_id, self.headers[dialect.request_id]),
            b"%s: seal" % dialect.seal,
            *headers,
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"


class WireWorld(gateway_world.World):
    """A gateway whose attempts parse what upstreams send."""

    def send(self, place, outgoing, callbacks):
        sent = WireAttempt(place, outgoing, callbacks)
        self.sent.append(sent)
        return sent
